package io.chicorytrestle.gateway.fleet;

/**
 * Asks a peer for what it believes.
 *
 * @param knownTableVersion The version of the routing table that the sender has.
 */
public record SnapshotRequest(long knownTableVersion) implements FleetMessage {

    /** Checks the version. */
    public SnapshotRequest {
        if (knownTableVersion < 0) {
            throw new IllegalArgumentException("Version is negative: " + knownTableVersion);
        }
    }
}
