package io.chicorytrestle.tool;

/** Thrown if a command can't be carried out; the message is printed to the error stream. */
public final class CommandException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The exit code of the process. */
    private final ExitCode exitCode;

    /**
     * Creates a new exception.
     *
     * @param exitCode The exit code of the process.
     * @param message What failed and why.
     */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return The exit code, which is never that of success.
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
