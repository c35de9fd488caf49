package io.chicorytrestle.core.route;

/**
 * Limits the size of requests and the time that callers may take to send them.
 *
 * @param headerBytes The maximum size of the header section of a request in bytes.
 * @param bodyBytes The maximum size of the body of a request in bytes.
 * @param headerTimeoutMillis The longest time in milliseconds that a caller may take to send the
 *     header section.
 * @param idleTimeoutMillis The longest time in milliseconds for which a connection may stay open
 *     without a request.
 */
public record RequestLimits(
        int headerBytes, long bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits that apply before a routing table is known. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

    /** Rejects sizes that are out of range. */
    public RequestLimits {
        if (headerBytes <= 0 || bodyBytes < 0) {
            throw new IllegalArgumentException(
                    "Header limit must be positive and body limit not negative: "
                            + headerBytes
                            + ", "
                            + bodyBytes);
        }
    }
}
