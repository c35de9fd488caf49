package io.chicorytrestle.daemon;

/** The exit codes of the daemon. */
enum ExitCode {

    /** All requests in flight ended before the process did. */
    SUCCESS(0),

    /** The servers could not be started. */
    START_FAILED(1),

    /** The command line or the settings are invalid. Nothing was started. */
    USAGE(2),

    /** The drain was ended by its deadline or by a second signal. */
    DRAIN_CUT(3);

    /** The exit code as the operating system receives it. */
    private final int number;

    /**
     * Creates an exit code.
     *
     * @param number The exit code as the operating system receives it.
     */
    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit code as the operating system receives it.
     *
     * @return The exit code.
     */
    int number() {
        return number;
    }
}
