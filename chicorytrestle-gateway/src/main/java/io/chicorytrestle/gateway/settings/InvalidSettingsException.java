package io.chicorytrestle.gateway.settings;

import java.util.List;

/** Signals settings that cannot be used. */
public final class InvalidSettingsException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates a new exception.
     *
     * @param faults Every setting that cannot be used, and why.
     */
    public InvalidSettingsException(List<String> faults) {
        super("Settings cannot be used: " + String.join("; ", faults));
    }
}
