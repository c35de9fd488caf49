package io.chicorytrestle.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that a settings text is invalid, with all its faults. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The faults, at least one. */
    private final transient List<SettingsFault> faults;

    /**
     * Creates an exception whose message has one line for each fault.
     *
     * @param faults The faults, at least one.
     */
    public SettingsException(List<SettingsFault> faults) {
        super(faults.stream().map(SettingsFault::describe).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return The faults, at least one.
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
