package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StorePosition;

/**
 * Requests the routing table, the endpoints and the crashes known to a peer, which omits the table
 * and the endpoints if they are not newer than the sender's.
 *
 * @param knownTableVersion The version of the sender's routing table, zero if it has none.
 * @param knownEndpointPosition The store's position of the newest change of endpoints known to the
 *     sender, {@link StorePosition#UNKNOWN} if it knows none.
 */
public record SnapshotRequest(long knownTableVersion, StorePosition knownEndpointPosition)
        implements FleetMessage {

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
