package io.chicorytrestle.peer;

/** Thrown when a peer violates the protocol or can't be authenticated; its connection is closed. */
final class PeerRejectedException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates a new exception.
     *
     * @param message The reason why the peer is rejected.
     */
    PeerRejectedException(String message) {
        super(message);
    }

    /**
     * Creates a new exception with a cause.
     *
     * @param message The reason why the peer is rejected.
     * @param cause The underlying failure, such as of decoding.
     */
    PeerRejectedException(String message, Throwable cause) {
        super(message, cause);
    }
}
