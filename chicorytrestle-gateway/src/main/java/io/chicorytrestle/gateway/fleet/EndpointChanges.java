package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.ServingEndpoint;
import java.util.List;

/**
 * Tells the instances of a zone what changed in the store's list of endpoints.
 *
 * @param sender The name of the instance that read it.
 * @param baseRevision The store's revision up to which the sender knew the list before.
 * @param revision The store's revision up to which it knows the list now.
 * @param changed The endpoints whose entries changed.
 * @param removed The identifiers of endpoints whose entries vanished.
 */
public record EndpointChanges(
        String sender,
        long baseRevision,
        long revision,
        List<ServingEndpoint> changed,
        List<String> removed)
        implements FleetMessage {

    /** Copies the lists. */
    public EndpointChanges {
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }
}
