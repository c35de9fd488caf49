package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StorePosition;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Creates the snapshots that peers request, without what they know already. It is confined to the
 * event loop's thread.
 */
final class SnapshotFactory {

    /** The name of this instance. */
    private final String sender;

    /** The routing table and the endpoints as known to this instance. */
    private final FleetState fleetState;

    /** The trackers of crashes, among others. */
    private final PeerObservations observations;

    /**
     * Creates a factory.
     *
     * @param sender The name of this instance.
     * @param fleetState The routing table and the endpoints as known to this instance.
     * @param observations The trackers of crashes, among others.
     */
    SnapshotFactory(String sender, FleetState fleetState, PeerObservations observations) {
        this.sender = sender;
        this.fleetState = fleetState;
        this.observations = observations;
    }

    /**
     * Creates the snapshot for a request.
     *
     * @param request The request, which states what its sender knows.
     * @param nowMillis The current time in milliseconds.
     * @return The snapshot.
     */
    Snapshot reply(SnapshotRequest request, long nowMillis) {
        boolean hasTable = request.knownTableVersion() < fleetState.tableVersion();
        boolean hasEndpoints =
                fleetState.endpointPosition().isAfter(request.knownEndpointPosition());
        return new Snapshot(
                sender,
                ByteBuffer.wrap(hasTable ? fleetState.publishedTable() : new byte[0]),
                hasEndpoints ? fleetState.endpointPosition() : StorePosition.UNKNOWN,
                hasEndpoints ? List.copyOf(fleetState.endpoints()) : List.of(),
                observations.crashes().records(nowMillis),
                observations.partCrashes().records(nowMillis),
                hasEndpoints ? fleetState.coldEndpoints().reports(nowMillis) : List.of(),
                fleetState.evacuations());
    }
}
