package io.chicorytrestle.gateway.fleet;

/**
 * Requests the routing table and the endpoints known to a peer, which omits the table if it is not
 * newer than the sender's.
 *
 * @param knownTableVersion The version of the sender's routing table, zero if it has none.
 */
public record SnapshotRequest(long knownTableVersion) implements FleetMessage {

    /**
     * Creates a new request.
     *
     * @throws IllegalArgumentException If the version is negative.
     */
    public SnapshotRequest {
        if (knownTableVersion < 0) {
            throw new IllegalArgumentException("Table version is negative: " + knownTableVersion);
        }
    }
}
