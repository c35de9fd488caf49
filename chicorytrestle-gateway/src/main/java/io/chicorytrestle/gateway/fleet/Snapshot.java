package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.ServingEndpoint;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Holds what an instance believes.
 *
 * @param sender The name of the instance.
 * @param table The routing table as it was published, or nothing if the receiver has it.
 * @param endpointRevision The store's revision of the newest change of endpoints that is known.
 * @param endpoints The endpoints.
 */
public record Snapshot(
        String sender, ByteBuffer table, long endpointRevision, List<ServingEndpoint> endpoints)
        implements FleetMessage {

    /** Copies the collections. */
    public Snapshot {
        table = table.asReadOnlyBuffer();
        endpoints = List.copyOf(endpoints);
    }
}
