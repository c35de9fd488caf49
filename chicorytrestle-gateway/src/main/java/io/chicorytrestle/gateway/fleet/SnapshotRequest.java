package io.chicorytrestle.gateway.fleet;

/**
 * Requests the complete state of a peer.
 *
 * @param knownTableVersion The version of the sender's routing table, zero if it has none.
 */
public record SnapshotRequest(long knownTableVersion) implements FleetMessage {

    /** Checks that the version is not negative. */
    public SnapshotRequest {
        if (knownTableVersion < 0) {
            throw new IllegalArgumentException("Table version is negative: " + knownTableVersion);
        }
    }
}
