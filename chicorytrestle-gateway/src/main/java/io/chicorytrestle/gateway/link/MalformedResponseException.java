package io.chicorytrestle.gateway.link;

/** Signals a response whose head or trailers are not those of one response. */
final class MalformedResponseException extends Exception {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message What is malformed.
     */
    MalformedResponseException(String message) {
        super(message);
    }
}
