package io.chicorytrestle.gateway.document;

/** Signals a document that cannot be understood. */
public final class MalformedDocumentException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates a new exception.
     *
     * @param message What cannot be understood.
     */
    public MalformedDocumentException(String message) {
        super(message);
    }

    /**
     * Creates a new exception.
     *
     * @param message What cannot be understood.
     * @param cause Why.
     */
    public MalformedDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
