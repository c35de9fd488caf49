package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.ColdReport;
import io.chicorytrestle.core.placement.ServingEndpoint;
import java.util.List;

/**
 * Sends changes of the store's list of endpoints to the instances of a zone.
 *
 * @param sender The name of the instance that read the changes.
 * @param base The store's position to which the changes apply.
 * @param position The store's position after the changes, of the same era.
 * @param changed The endpoints whose entries were added or changed.
 * @param removed The identifiers of endpoints whose entries were removed.
 * @param coldReports What the added or changed entries state of how long their endpoints are cold.
 */
public record EndpointChanges(
        String sender,
        StorePosition base,
        StorePosition position,
        List<ServingEndpoint> changed,
        List<String> removed,
        List<ColdReport> coldReports)
        implements FleetMessage {

    /**
     * Copies the lists.
     *
     * @throws IllegalArgumentException If the positions are of different eras.
     */
    public EndpointChanges {
        if (base.era() != position.era()) {
            throw new IllegalArgumentException(
                    "Changes of era " + position.era() + " follow era " + base.era());
        }
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
        coldReports = List.copyOf(coldReports);
    }

    /**
     * Returns {@code true} if the changes can be applied to the endpoints of a position.
     *
     * @param known The position of the known endpoints.
     * @return {@code true} if the changes are of the same era, begin at or before the position and
     *     end after it.
     */
    boolean isContiguous(StorePosition known) {
        return base.era() == known.era()
                && base.revision() <= known.revision()
                && position.revision() > known.revision();
    }
}
