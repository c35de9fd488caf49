package io.chicorytrestle.core.placement;

import java.util.HashSet;
import java.util.Set;

/**
 * The complete set of availability zones that the operator had evacuated at a revision of the
 * store. Of two sets the one with the larger revision holds, whichever arrived first.
 *
 * @param revision The store's revision, or zero if nothing is known.
 * @param zones The evacuated zones.
 */
public record Evacuations(long revision, Set<String> zones) {

    /** The value before a listing of the store or another instance's set was received. */
    public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

    /**
     * Copies the zones, so that the record is immutable.
     *
     * @throws IllegalArgumentException If the revision is negative.
     */
    public Evacuations {
        if (revision < 0) {
            throw new IllegalArgumentException("Evacuation revision is negative: " + revision);
        }
        zones = Set.copyOf(zones);
    }

    /**
     * Returns {@code true} if the evacuated zones of some revision are known.
     *
     * @return {@code false} before the first set was received.
     */
    public boolean isKnown() {
        return revision > 0;
    }

    /**
     * Applies a change of one zone, which must follow the revision of this set without another
     * change between them. A change that this set contains already has no effect.
     *
     * @param zone The zone.
     * @param isEvacuated Whether it is evacuated from then on.
     * @param changeRevision The store's revision of the change.
     * @return The set after the change.
     */
    public Evacuations after(String zone, boolean isEvacuated, long changeRevision) {
        if (changeRevision <= revision) {
            return this;
        }
        Set<String> changed = new HashSet<>(zones);
        if (isEvacuated) {
            changed.add(zone);
        } else {
            changed.remove(zone);
        }
        return new Evacuations(changeRevision, changed);
    }
}
