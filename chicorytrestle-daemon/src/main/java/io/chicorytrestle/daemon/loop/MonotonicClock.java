package io.chicorytrestle.daemon.loop;

import java.util.concurrent.TimeUnit;

/** Tells the milliseconds since the epoch as of its start, and never goes back. */
public final class MonotonicClock {

    /** The time of the start in milliseconds since the epoch. */
    private final long startMillis;

    /** The reading of the steady counter at the start in nanoseconds. */
    private final long startNanos;

    /**
     * Creates a new clock.
     *
     * @param startMillis The present time in milliseconds since the epoch.
     * @param startNanos The present reading of the steady counter in nanoseconds.
     */
    private MonotonicClock(long startMillis, long startNanos) {
        this.startMillis = startMillis;
        this.startNanos = startNanos;
    }

    /**
     * Starts a clock.
     *
     * @return A clock that starts now.
     */
    public static MonotonicClock start() {
        return new MonotonicClock(System.currentTimeMillis(), System.nanoTime());
    }

    /**
     * Returns the present time.
     *
     * @return The milliseconds since the epoch as of the start, advanced by the steady counter.
     */
    public long nowMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
