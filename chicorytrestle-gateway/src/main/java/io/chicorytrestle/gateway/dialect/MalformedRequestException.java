package io.chicorytrestle.gateway.dialect;

/** Signals a request that cannot be parsed. */
public final class MalformedRequestException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** What is malformed and why; sent to the caller. */
    private final String reason;

    /**
     * Creates an exception.
     *
     * @param message What is malformed and why; sent to the caller.
     */
    public MalformedRequestException(String message) {
        super(message);
        reason = message;
    }

    /**
     * Returns what is malformed and why.
     *
     * @return The message, never null.
     */
    public String reason() {
        return reason;
    }
}
