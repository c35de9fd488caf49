package io.chicorytrestle.peer;

/**
 * Holds the limits of the peer channel, each at least one.
 *
 * @param bytesPerSecond The rate limit of control messages in bytes per second.
 * @param maximumFrameBytes The maximum size of a frame in bytes.
 * @param maximumQueuedMessages The maximum number of waiting messages of each priority, and of
 *     messages that wait for one connection.
 * @param maximumPeers The maximum number of connected entry instances in each direction.
 * @param connectTimeoutMillis The time-out in milliseconds for connecting, and again for the
 *     handshake.
 */
public record PeerLimits(
        long bytesPerSecond,
        int maximumFrameBytes,
        int maximumQueuedMessages,
        int maximumPeers,
        long connectTimeoutMillis) {

    /** The limits that apply unless the settings override them. */
    public static final PeerLimits DEFAULT = new PeerLimits(5_000, 262_144, 1_024, 512, 2_000);

    /**
     * Creates new limits.
     *
     * @throws IllegalArgumentException If a limit is below one.
     */
    public PeerLimits {
        long smallest = Math.min(bytesPerSecond, connectTimeoutMillis);
        smallest = Math.min(smallest, Math.min(maximumFrameBytes, maximumQueuedMessages));
        if (Math.min(smallest, maximumPeers) < 1) {
            throw new IllegalArgumentException("Cannot use peer limit below one: " + smallest);
        }
    }
}
