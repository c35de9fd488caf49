package io.chicorytrestle.core.table;

/**
 * Holds the lowest table version under which this entry instance may serve. After a start or a
 * pause, it may not serve until it has reached the highest version among the instances that it
 * queried.
 *
 * @param state Whether the minimum version is known.
 * @param version The minimum version; zero if no queried instance has a table or the queries have
 *     not completed.
 */
public record MinimumTableVersion(State state, long version) {

    /** The value right after a start or a pause. */
    public static final MinimumTableVersion UNKNOWN = new MinimumTableVersion(State.QUERYING, 0);

    /**
     * Returns {@code true} if this instance may serve under a table.
     *
     * @param table The current table.
     * @return {@code true} if the minimum version is known and the table, not the empty one, has
     *     reached it.
     */
    public boolean allows(Table table) {
        return state == State.KNOWN && table.version() > 0 && table.version() >= version;
    }

    /** Enumerates the states of the minimum version. */
    public enum State {

        /** Other instances are being queried. */
        QUERYING,

        /** The minimum version is known. */
        KNOWN
    }
}
