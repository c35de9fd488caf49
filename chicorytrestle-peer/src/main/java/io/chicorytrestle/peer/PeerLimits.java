package io.chicorytrestle.peer;

/**
 * Holds the bounds of the peer channel.
 *
 * @param bytesPerSecond The bytes that control messages may take in a second.
 * @param maximumFrameBytes The most bytes of a frame.
 * @param maximumQueuedMessages The most messages of each urgency that wait.
 * @param maximumPeers The most entry instances to keep connections with, in each direction.
 * @param connectTimeoutMillis The most milliseconds to connect and to prove the key.
 */
public record PeerLimits(
        long bytesPerSecond,
        int maximumFrameBytes,
        int maximumQueuedMessages,
        int maximumPeers,
        long connectTimeoutMillis) {

    /** The bounds that hold if the settings name none. */
    public static final PeerLimits DEFAULT = new PeerLimits(5_000, 262_144, 1_024, 512, 2_000);

    /**
     * Creates new bounds.
     *
     * @throws IllegalArgumentException If a bound is below one.
     */
    public PeerLimits {
        long smallest = Math.min(bytesPerSecond, connectTimeoutMillis);
        smallest = Math.min(smallest, Math.min(maximumFrameBytes, maximumQueuedMessages));
        if (Math.min(smallest, maximumPeers) < 1) {
            throw new IllegalArgumentException("Cannot use bound below one: " + smallest);
        }
    }
}
