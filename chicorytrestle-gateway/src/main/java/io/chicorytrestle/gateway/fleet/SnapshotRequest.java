package io.chicorytrestle.gateway.fleet;

/**
 * Asks a peer for what it believes.
 *
 * @param tableVersion The version of the routing table that the sender has.
 */
public record SnapshotRequest(long tableVersion) implements FleetMessage {

    /** Checks the version. */
    public SnapshotRequest {
        if (tableVersion < 0) {
            throw new IllegalArgumentException("Version is negative: " + tableVersion);
        }
    }
}
