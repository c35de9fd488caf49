package io.chicorytrestle.gateway.fleet;

/**
 * Requests the routing table, the endpoints and the crashes known to a peer, which omits the table
 * and the endpoints if they are not newer than the sender's.
 *
 * @param knownTableVersion The version of the sender's routing table, zero if it has none.
 * @param knownEndpointRevision The store's revision of the newest change of endpoints known to the
 *     sender, zero if it knows none.
 */
public record SnapshotRequest(long knownTableVersion, long knownEndpointRevision)
        implements FleetMessage {

    /**
     * Creates a new request.
     *
     * @throws IllegalArgumentException If the version or the revision is negative.
     */
    public SnapshotRequest {
        if (knownTableVersion < 0) {
            throw new IllegalArgumentException("Table version is negative: " + knownTableVersion);
        }
        if (knownEndpointRevision < 0) {
            throw new IllegalArgumentException(
                    "Endpoint revision is negative: " + knownEndpointRevision);
        }
    }
}
