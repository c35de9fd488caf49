package io.chicorytrestle.gateway.document;

/**
 * Thrown when a JSON document is malformed or holds a field that is missing, of the wrong type or
 * out of range.
 */
public final class MalformedDocumentException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates a new exception.
     *
     * @param message What is malformed, with the name of the field.
     */
    public MalformedDocumentException(String message) {
        super(message);
    }

    /**
     * Creates a new exception with a cause.
     *
     * @param message What is malformed, with the name of the field.
     * @param cause The underlying failure.
     */
    public MalformedDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
