package io.chicorytrestle.core.route;

/**
 * Bounds what callers may send and how long they may take.
 *
 * @param headerBytes The most bytes of a request's head.
 * @param bodyBytes The most bytes of a request's body.
 * @param headerTimeoutMillis The longest time for which a caller may take to send a head.
 * @param idleTimeoutMillis The longest time for which a connection may stay without a request.
 */
public record RequestLimits(
        int headerBytes, long bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Bounds that hold before a routing table is known. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

    /** Checks the bounds. */
    public RequestLimits {
        if (headerBytes <= 0 || bodyBytes < 0) {
            throw new IllegalArgumentException(
                    "Request limits are not positive: " + headerBytes + ", " + bodyBytes);
        }
    }
}
