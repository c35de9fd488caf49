package io.chicorytrestle.standin.http;

/**
 * Limits the reads in each second of the clock and counts them. A waiting read counts as one read
 * in every second that it waits.
 */
final class ReadRateLimiter {

    /** The number of milliseconds in a second. */
    private static final long SECOND_MILLIS = 1_000;

    /** The maximum number of reads in a second. */
    private final int readsPerSecond;

    /** The current second since the epoch. */
    private long currentSecond;

    /** The reads in the current second, waiting ones included. */
    private long currentReads;

    /** The reads in the second before the current one. */
    private long lastSecondReads;

    /** The largest number of reads in one second. */
    private long peakSecondReads;

    /** The admitted reads since the start, with one for each second that a read waited. */
    private long totalReads;

    /** The refused reads since the start. */
    private long refusedReads;

    /** The reads that wait now. */
    private int waiting;

    /**
     * Creates a new limiter.
     *
     * @param readsPerSecond The maximum number of reads in a second.
     */
    ReadRateLimiter(int readsPerSecond) {
        this.readsPerSecond = readsPerSecond;
    }

    /**
     * Admits and counts a read, or refuses it.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if the limit of the current second is reached.
     */
    boolean tryAcquire(long nowMillis) {
        advanceToSecond(nowMillis);
        if (currentReads >= readsPerSecond) {
            refusedReads++;
            return false;
        }
        addReads(1);
        return true;
    }

    /**
     * Records that a read begins or ends to wait.
     *
     * @param delta One for a read that begins to wait, minus one for a read that ends.
     * @param nowMillis The current time in milliseconds.
     */
    void waiting(int delta, long nowMillis) {
        advanceToSecond(nowMillis);
        waiting += delta;
    }

    /**
     * Returns the counters.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The counters at the given time.
     */
    Counts counts(long nowMillis) {
        advanceToSecond(nowMillis);
        return new Counts(lastSecondReads, peakSecondReads, totalReads, refusedReads, waiting);
    }

    /**
     * Closes the seconds before the current one and counts the waiting reads in each.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void advanceToSecond(long nowMillis) {
        long now = nowMillis / SECOND_MILLIS;
        long elapsedSeconds = now - currentSecond;
        if (elapsedSeconds <= 0) {
            return;
        }
        lastSecondReads = elapsedSeconds == 1 ? currentReads : waiting;
        totalReads += (elapsedSeconds - 1) * waiting;
        currentSecond = now;
        currentReads = 0;
        addReads(waiting);
    }

    /**
     * Adds reads to the current second.
     *
     * @param reads The number of reads to add.
     */
    private void addReads(int reads) {
        currentReads += reads;
        totalReads += reads;
        peakSecondReads = Math.max(peakSecondReads, currentReads);
    }

    /**
     * The read counters.
     *
     * @param lastSecond The reads in the second before the current one.
     * @param peakSecond The largest number of reads in one second.
     * @param total The admitted reads since the start, with one for each second that a read waited.
     * @param refused The refused reads since the start.
     * @param waiting The reads that wait now.
     */
    record Counts(long lastSecond, long peakSecond, long total, long refused, int waiting) {}
}
