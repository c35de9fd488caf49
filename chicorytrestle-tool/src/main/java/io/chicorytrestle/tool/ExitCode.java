package io.chicorytrestle.tool;

/** Enumerates the exit codes of the command-line tool. */
public enum ExitCode {

    /** The command ran and found no fault. */
    SUCCESS(0, "the command did what it was asked and found no fault"),

    /** A file has faults, or an entry instance isn't ready. */
    FAULTS_FOUND(1, "a file holds faults, or an entry instance is not ready"),

    /** The command line is invalid, or a file can't be read. */
    USAGE(2, "the command line or a file could not be read"),

    /** An operator port can't be reached, or its response is an error. */
    UNREACHABLE(3, "an operator port could not be reached or refused the question");

    /** The exit status of the process. */
    private final int number;

    /** The description for the help text. */
    private final String meaning;

    /**
     * Creates a new exit code.
     *
     * @param number The exit status of the process.
     * @param meaning The description for the help text.
     */
    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return The number, which scripts may rely on.
     */
    public int number() {
        return number;
    }

    /**
     * Returns the description of this exit code.
     *
     * @return One line for the help text.
     */
    public String meaning() {
        return meaning;
    }
}
