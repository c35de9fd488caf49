package io.chicorytrestle.gateway.link;

import java.io.IOException;

/** Thrown when a response has a larger body than is accepted. */
public final class ResponseTooLargeException extends IOException {

    /** The version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates a new exception.
     *
     * @param maximumBytes The largest accepted size in bytes.
     */
    ResponseTooLargeException(int maximumBytes) {
        super("Response body is larger than " + maximumBytes + " bytes");
    }
}
