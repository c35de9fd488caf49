package io.chicorytrestle.core.membership;

/**
 * Counts how often a member failed or restarted lately. The count halves with time.
 *
 * @param count The count at a time.
 * @param asOfMillis The time of the count in milliseconds.
 */
public record FlapPenalty(double count, long asOfMillis) {

    /** The penalty of a member that never failed. */
    public static final FlapPenalty NONE = new FlapPenalty(0, 0);

    /** The time in which the count halves, in milliseconds. */
    public static final long HALF_LIFE_MILLIS = 60_000;

    /** The time for which a member is held back after its first failure, in milliseconds. */
    public static final long INITIAL_HOLD_DOWN_MILLIS = 2_000;

    /** The longest time for which a member is held back, in milliseconds. */
    public static final long MAXIMUM_HOLD_DOWN_MILLIS = 60_000;

    /** The count from which a member is held back even after a sign of life. */
    private static final double FLAP_THRESHOLD = 3;

    /**
     * Returns this penalty with one more failure or restart.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The larger penalty.
     */
    public FlapPenalty increased(long nowMillis) {
        return new FlapPenalty(countAt(nowMillis) + 1, Math.max(asOfMillis, nowMillis));
    }

    /**
     * Returns the count at a time.
     *
     * @param nowMillis The time in milliseconds.
     * @return The count, halved for each half-life since it grew.
     */
    public double countAt(long nowMillis) {
        long ageMillis = Math.max(0, nowMillis - asOfMillis);
        return count * Math.pow(2, -(double) ageMillis / HALF_LIFE_MILLIS);
    }

    /**
     * Returns how long a member is held back after the failure that was counted last.
     *
     * @return The time in milliseconds, doubled with each failure up to a limit.
     */
    public long holdDownMillis() {
        double factor = Math.pow(2, Math.max(0, Math.floor(count) - 1));
        return (long) Math.min(MAXIMUM_HOLD_DOWN_MILLIS, INITIAL_HOLD_DOWN_MILLIS * factor);
    }

    /**
     * Returns {@code true} if a member is held back for its flaps.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the member failed or restarted too often lately.
     */
    public boolean isHeldDown(long nowMillis) {
        return count >= FLAP_THRESHOLD && nowMillis < asOfMillis + holdDownMillis();
    }
}
