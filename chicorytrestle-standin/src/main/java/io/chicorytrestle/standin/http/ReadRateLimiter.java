package io.chicorytrestle.standin.http;

/** Counts reads a second, a waiting one as one in each second, and refuses those above a limit. */
final class ReadRateLimiter {

    /** The milliseconds of a second. */
    private static final long SECOND_MILLIS = 1_000;

    /** The reads that are allowed a second. */
    private final int readsPerSecond;

    /** The present second. */
    private long currentSecond;

    /** The reads of the present second. */
    private long currentReads;

    /** The reads of the last whole second. */
    private long lastSecondReads;

    /** The most reads of one second. */
    private long peakSecondReads;

    /** All reads. */
    private long totalReads;

    /** All refused reads. */
    private long refusedReads;

    /** The reads that wait. */
    private int waiting;

    /**
     * Creates a new meter.
     *
     * @param limit The reads that are allowed a second.
     */
    ReadRateLimiter(int limit) {
        this.readsPerSecond = limit;
    }

    /**
     * Counts a read.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if the read is above the limit.
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
     * Takes note of a read that begins or ends to wait.
     *
     * @param change One or minus one.
     * @param nowMillis The present time in milliseconds.
     */
    void waiting(int change, long nowMillis) {
        advanceToSecond(nowMillis);
        waiting += change;
    }

    /**
     * Returns the counts.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The counts.
     */
    Counts counts(long nowMillis) {
        advanceToSecond(nowMillis);
        return new Counts(lastSecondReads, peakSecondReads, totalReads, refusedReads, waiting);
    }

    /**
     * Begins the present second.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void advanceToSecond(long nowMillis) {
        long now = nowMillis / SECOND_MILLIS;
        long passed = now - currentSecond;
        if (passed <= 0) {
            return;
        }
        lastSecondReads = passed == 1 ? currentReads : waiting;
        totalReads += (passed - 1) * waiting;
        currentSecond = now;
        currentReads = 0;
        addReads(waiting);
    }

    /**
     * Adds reads to the present second.
     *
     * @param reads The reads.
     */
    private void addReads(int reads) {
        currentReads += reads;
        totalReads += reads;
        peakSecondReads = Math.max(peakSecondReads, currentReads);
    }

    /**
     * Holds counts of reads.
     *
     * @param lastSecond The reads of the last whole second.
     * @param peakSecond The most reads of one second.
     * @param total All reads.
     * @param refused All refused reads.
     * @param waiting The reads that wait now.
     */
    record Counts(long lastSecond, long peakSecond, long total, long refused, int waiting) {}
}
