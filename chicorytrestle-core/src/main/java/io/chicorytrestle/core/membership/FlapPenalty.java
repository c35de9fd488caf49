package io.chicorytrestle.core.membership;

/**
 * Counts a member's recent failures and restarts. The count decays exponentially with time, as in
 * route flap damping.
 *
 * @param count The count at the given time.
 * @param asOfMillis The time of the count in milliseconds.
 */
public record FlapPenalty(double count, long asOfMillis) {

    /** The penalty of a member without failures or restarts. */
    public static final FlapPenalty NONE = new FlapPenalty(0, 0);

    /** The half-life of the count in milliseconds. */
    public static final long HALF_LIFE_MILLIS = 60_000;

    /** The time for which a member is held down after its first failure, in milliseconds. */
    public static final long INITIAL_HOLD_DOWN_MILLIS = 2_000;

    /** The longest time for which a member is held down, in milliseconds. */
    public static final long MAXIMUM_HOLD_DOWN_MILLIS = 60_000;

    /** The count from which a member is held down even if it has responded since. */
    private static final double FLAP_THRESHOLD = 3;

    /**
     * Returns this penalty with one more failure or restart.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The increased penalty.
     */
    public FlapPenalty increased(long nowMillis) {
        return new FlapPenalty(countAt(nowMillis) + 1, Math.max(asOfMillis, nowMillis));
    }

    /**
     * Returns the count at a time.
     *
     * @param nowMillis The time in milliseconds.
     * @return The count, halved for each half-life since the last increase.
     */
    public double countAt(long nowMillis) {
        long ageMillis = Math.max(0, nowMillis - asOfMillis);
        return count * Math.pow(2, -(double) ageMillis / HALF_LIFE_MILLIS);
    }

    /**
     * Returns the time for which a member is held down after the last failure.
     *
     * @return The time in milliseconds, doubled with each counted failure up to {@link
     *     #MAXIMUM_HOLD_DOWN_MILLIS}.
     */
    public long holdDownMillis() {
        double factor = Math.pow(2, Math.max(0, Math.floor(count) - 1));
        return (long) Math.min(MAXIMUM_HOLD_DOWN_MILLIS, INITIAL_HOLD_DOWN_MILLIS * factor);
    }

    /**
     * Returns {@code true} if a member is held down because it flaps.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the count reached the threshold and the hold-down time has not
     *     passed.
     */
    public boolean isHeldDown(long nowMillis) {
        return count >= FLAP_THRESHOLD && nowMillis < asOfMillis + holdDownMillis();
    }
}
