package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.fleet.StorePosition;
import java.util.HashSet;
import java.util.Set;

/**
 * The complete set of availability zones that the operator had evacuated at a position of the
 * store. Of two sets the one with the later position holds, whichever arrived first.
 *
 * @param position The store's position, or {@link StorePosition#UNKNOWN} if nothing is known.
 * @param zones The evacuated zones.
 */
public record Evacuations(StorePosition position, Set<String> zones) {

    /** The value before a listing of the store or another instance's set was received. */
    public static final Evacuations UNKNOWN = new Evacuations(StorePosition.UNKNOWN, Set.of());

    /** Copies the zones, so that the record is immutable. */
    public Evacuations {
        zones = Set.copyOf(zones);
    }

    /**
     * Returns {@code true} if the evacuated zones of some position are known.
     *
     * @return {@code false} before the first set was received.
     */
    public boolean isKnown() {
        return position.isAfter(StorePosition.UNKNOWN);
    }

    /**
     * Applies a change of one zone, which must follow the position of this set without another
     * change between them. A change that this set contains already, or one of another era, has no
     * effect.
     *
     * @param zone The zone.
     * @param isEvacuated Whether it is evacuated from then on.
     * @param change The store's position of the change.
     * @return The set after the change.
     */
    public Evacuations after(String zone, boolean isEvacuated, StorePosition change) {
        if (change.era() != position.era() || change.revision() <= position.revision()) {
            return this;
        }
        Set<String> changed = new HashSet<>(zones);
        if (isEvacuated) {
            changed.add(zone);
        } else {
            changed.remove(zone);
        }
        return new Evacuations(change, changed);
    }
}
