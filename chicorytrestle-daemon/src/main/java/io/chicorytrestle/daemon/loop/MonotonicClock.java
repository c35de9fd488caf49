package io.chicorytrestle.daemon.loop;

import java.util.concurrent.TimeUnit;

/**
 * Returns milliseconds since the epoch that never decrease, even if the system clock is set back:
 * the system time at the start, advanced by {@link System#nanoTime}.
 */
public final class MonotonicClock {

    /** The system time at the start in milliseconds since the epoch. */
    private final long startMillis;

    /** The reading of {@link System#nanoTime} at the start. */
    private final long startNanos;

    /**
     * Creates a clock.
     *
     * @param startMillis The system time at the start in milliseconds since the epoch.
     * @param startNanos The reading of {@link System#nanoTime} at the start.
     */
    private MonotonicClock(long startMillis, long startNanos) {
        this.startMillis = startMillis;
        this.startNanos = startNanos;
    }

    /**
     * Starts a clock at the current system time.
     *
     * @return The clock.
     */
    public static MonotonicClock start() {
        return new MonotonicClock(System.currentTimeMillis(), System.nanoTime());
    }

    /**
     * Returns the current time.
     *
     * @return The current time in milliseconds since the epoch, as of the start.
     */
    public long nowMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
