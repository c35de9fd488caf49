package io.chicorytrestle.bench;

/** Enumerates the exit codes of the bench. */
public enum ExitCode {

    /** The experiment ran and met its aims. */
    SUCCESS(0),

    /** The experiment ran and missed an aim. */
    AIM_MISSED(1),

    /** The command line was malformed. */
    USAGE(2);

    /** The number handed to the operating system. */
    private final int code;

    /**
     * Creates a new exit code.
     *
     * @param number The number handed to the operating system.
     */
    ExitCode(int number) {
        this.code = number;
    }

    /**
     * Returns the number handed to the operating system.
     *
     * @return The number handed to the operating system.
     */
    public int code() {
        return code;
    }
}
