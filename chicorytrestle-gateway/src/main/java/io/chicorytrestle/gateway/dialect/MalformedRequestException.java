package io.chicorytrestle.gateway.dialect;

/** Signals a request that cannot be understood. */
public final class MalformedRequestException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** What was refused and why. */
    private final String reason;

    /**
     * Creates a new exception.
     *
     * @param message What was refused and why.
     */
    public MalformedRequestException(String message) {
        super(message);
        reason = message;
    }

    /**
     * Returns what was refused and why.
     *
     * @return What was refused and why.
     */
    public String reason() {
        return reason;
    }
}
