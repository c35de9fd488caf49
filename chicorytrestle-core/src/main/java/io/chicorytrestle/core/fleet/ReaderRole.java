package io.chicorytrestle.core.fleet;

/** Enumerates the parts of an instance in reading the store for its availability zone. */
public enum ReaderRole {

    /** It receives changes from the readers of its zone. */
    FOLLOWER(false, false),

    /** It reads the store, so that another reader remains if the primary is lost. */
    STANDBY(true, false),

    /** It reads the store and must soon notice when a connection to the store has gone silent. */
    PRIMARY(true, true);

    /** Whether an instance with this role reads the store itself. */
    private final boolean isReading;

    /** Whether an instance with this role must soon notice a silent connection to the store. */
    private final boolean isProbing;

    /**
     * Creates a new constant.
     *
     * @param isReading Whether an instance with this role reads the store itself.
     * @param isProbing Whether it must soon notice a silent connection to the store.
     */
    ReaderRole(boolean isReading, boolean isProbing) {
        this.isReading = isReading;
        this.isProbing = isProbing;
    }

    /**
     * Returns whether an instance with this role reads the store itself.
     *
     * @return {@code true} if it does.
     */
    public boolean isReading() {
        return isReading;
    }

    /**
     * Returns whether an instance with this role polls the store at short intervals, which shows
     * within seconds that a connection has gone silent. One such instance in a zone is enough, and
     * each poll is a call that the platform charges.
     *
     * @return {@code true} if it does.
     */
    public boolean isProbing() {
        return isProbing;
    }
}
