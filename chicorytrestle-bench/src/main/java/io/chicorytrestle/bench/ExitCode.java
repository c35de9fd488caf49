package io.chicorytrestle.bench;

/** Enumerates the exit codes of {@link BenchMain}. */
public enum ExitCode {

    /** The experiment ran and met its aims. */
    SUCCESS(0),

    /** The experiment ran and missed an aim. */
    AIM_MISSED(1),

    /** The command line was malformed. */
    USAGE(2);

    /** The process's exit status. */
    private final int code;

    /**
     * Creates a new exit code.
     *
     * @param code The process's exit status.
     */
    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the process's exit status.
     *
     * @return The exit status.
     */
    public int code() {
        return code;
    }
}
