package io.chicorytrestle.core.table;

/**
 * Tells whether this entry instance may serve under the table in force. After a start or a pause it
 * may not until it knows that no reachable instance has a later one.
 *
 * @param state What is known.
 * @param version The lowest version to serve under, zero if none is known.
 */
public record MinimumTableVersion(State state, long version) {

    /** What is known right after the start. */
    public static final MinimumTableVersion UNKNOWN = new MinimumTableVersion(State.QUERYING, 0);

    /**
     * Returns {@code true} if this instance may serve under a table.
     *
     * @param table The table in force.
     * @return {@code true} if the floor is known and reached.
     */
    public boolean allows(Table table) {
        return state == State.KNOWN && table.version() > 0 && table.version() >= version;
    }

    /** Enumerates what is known of the floor. */
    public enum State {

        /** Other instances are being asked. */
        QUERYING,

        /** The floor is known. */
        KNOWN
    }
}
