package io.chicorytrestle.gateway.fleet;

/**
 * Measures for how long one part of this instance's state has been older than that of a peer. It is
 * confined to the event loop's thread.
 */
final class PeerLag {

    /** The time in milliseconds after which the lag lasts for too long. */
    private final long timeoutMillis;

    /** The state of this instance since the lag began, or an empty string before the first one. */
    private Object laggingState = "";

    /** The time in milliseconds at which the lag began. */
    private long sinceMillis;

    /**
     * Creates the measure of a lag that has not begun.
     *
     * @param timeoutMillis The time in milliseconds after which the lag lasts for too long.
     */
    PeerLag(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Records that a peer has newer state.
     *
     * @param state The older state of this instance.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the lag begins now, since the state differs from the one before.
     */
    boolean begin(Object state, long nowMillis) {
        if (state.equals(laggingState)) {
            return false;
        }
        laggingState = state;
        sinceMillis = nowMillis;
        return true;
    }

    /**
     * Returns whether the lag lasts for too long to wait for the store.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the time-out has passed since the lag began.
     */
    boolean isDue(long nowMillis) {
        return nowMillis - sinceMillis >= timeoutMillis;
    }
}
