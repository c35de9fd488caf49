package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.ServingEndpoint;
import java.util.List;

/**
 * Sends changes of the store's list of endpoints to the instances of a zone.
 *
 * @param sender The name of the instance that read the changes.
 * @param baseRevision The store's revision to which the changes apply.
 * @param revision The store's revision after the changes.
 * @param changed The endpoints whose entries were added or changed.
 * @param removed The identifiers of endpoints whose entries were removed.
 * @param coldReports What the added or changed entries state of how long their endpoints are cold.
 */
public record EndpointChanges(
        String sender,
        long baseRevision,
        long revision,
        List<ServingEndpoint> changed,
        List<String> removed,
        List<ColdReport> coldReports)
        implements FleetMessage {

    /** Copies the lists. */
    public EndpointChanges {
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
        coldReports = List.copyOf(coldReports);
    }
}
