package io.chicorytrestle.core.fleet;

import java.util.Comparator;

/**
 * Orders what was read from the store. Within an era the store counts every change in one sequence.
 * A store that comes back from a copy loses its latest changes and gives out their revisions again
 * in a later era, so that revisions of two eras cannot be compared.
 *
 * @param era The era of the store, or zero if the store does not state it.
 * @param revision The store's revision within the era, zero before its first change.
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** The position before anything was read. */
    public static final StorePosition UNKNOWN = new StorePosition(0, 0);

    /** Orders positions by their era, and within an era by their revision. */
    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /**
     * Creates a new position.
     *
     * @throws IllegalArgumentException If the era or the revision is negative.
     */
    public StorePosition {
        if (era < 0) {
            throw new IllegalArgumentException("Era is negative: " + era);
        }
        if (revision < 0) {
            throw new IllegalArgumentException("Revision is negative: " + revision);
        }
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns {@code true} if what was read at this position replaces what was read at another.
     *
     * @param other The other position.
     * @return {@code true} if this position is of a later era, or has a larger revision in the same
     *     era.
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns the position of another revision of the same era.
     *
     * @param otherRevision The revision.
     * @return The position.
     */
    public StorePosition withRevision(long otherRevision) {
        return new StorePosition(era, otherRevision);
    }

    @Override
    public String toString() {
        return "revision " + revision + " of era " + era;
    }
}
