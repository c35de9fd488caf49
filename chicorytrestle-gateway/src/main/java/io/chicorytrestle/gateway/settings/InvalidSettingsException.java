package io.chicorytrestle.gateway.settings;

import java.util.List;

/** Thrown when settings are missing, malformed or out of range. */
public final class InvalidSettingsException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates a new exception.
     *
     * @param faults Each invalid setting with the reason, or why the settings file is malformed.
     */
    public InvalidSettingsException(List<String> faults) {
        super("Invalid settings: " + String.join("; ", faults));
    }
}
