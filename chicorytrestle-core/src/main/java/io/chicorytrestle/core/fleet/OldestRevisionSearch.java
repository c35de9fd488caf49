package io.chicorytrestle.core.fleet;

/**
 * Finds the oldest revision since which the store still has all changes, with few calls. It asks
 * for the beginning, then for the known revision, then for revisions at doubling distances before
 * that, and then halves the range that is left. It is confined to one thread.
 */
public final class OldestRevisionSearch {

    /** The most calls that a search takes. */
    static final int MAXIMUM_CALLS = 24;

    /** The distance from the known revision of the first revision before it. */
    private static final long FIRST_DISTANCE = 32;

    /** The known revision. */
    private final long knownRevision;

    /** The largest revision since which changes are missing, or -1 before the first answer. */
    private long gone = -1;

    /** The smallest revision since which the store has all changes, or -1 if none is known. */
    private long available = -1;

    /** The distance from the known revision of the next revision before it. */
    private long distance = FIRST_DISTANCE;

    /** Whether no revision but the beginning was found to be gone so far. */
    private boolean isDoubling = true;

    /** The number of answers. */
    private int calls;

    /** Whether the store lacks even the changes since the known revision. */
    private boolean isFailed;

    /**
     * Creates a search.
     *
     * @param knownRevision The newest revision that is known.
     */
    public OldestRevisionSearch(long knownRevision) {
        this.knownRevision = knownRevision;
    }

    /**
     * Returns the revision to ask for next.
     *
     * @return The revision after which changes are requested.
     */
    public long nextRevision() {
        if (gone < 0) {
            return 0;
        }
        if (available < 0) {
            return knownRevision;
        }
        if (isDoubling && knownRevision - distance > gone) {
            return knownRevision - distance;
        }
        return gone + (available - gone) / 2;
    }

    /**
     * Records the answer to the call for {@link #nextRevision}.
     *
     * @param isAvailable Whether the store still has all changes since that revision.
     */
    public void recordAnswer(boolean isAvailable) {
        long asked = nextRevision();
        calls++;
        if (isAvailable) {
            distance *= available < 0 ? 1 : 2;
            available = asked;
        } else {
            isFailed = asked == knownRevision;
            isDoubling &= gone < 0;
            gone = asked;
        }
    }

    /**
     * Returns {@code true} if no further call is of use.
     *
     * @return {@code true} once the revision is found, or cannot be.
     */
    public boolean isOver() {
        return isFound() || isFailed || calls >= MAXIMUM_CALLS;
    }

    /**
     * Returns {@code true} if the last available revision is the oldest one.
     *
     * @return {@code true} if that is the beginning, or changes since the one before are missing.
     */
    public boolean isFound() {
        return available == 0 || (available > 0 && available - gone == 1);
    }

    /**
     * Returns {@code true} if the store has all changes since the beginning.
     *
     * @return {@code true} if nothing is missing.
     */
    public boolean isWhole() {
        return available == 0;
    }
}
