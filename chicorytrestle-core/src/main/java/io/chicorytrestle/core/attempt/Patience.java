package io.chicorytrestle.core.attempt;

/**
 * Decides how long a silent endpoint is waited for before a request that may be repeated is sent to
 * another one. It answers endpoints that hang, and connections that went silent.
 */
public final class Patience {

    /** The multiple of the latency target after which an answer is no longer expected. */
    private static final long TARGET_MULTIPLE = 2;

    /**
     * The shortest time in milliseconds, so that a slow connection is not taken for a silent one.
     */
    private static final long SHORTEST_MILLIS = 250;

    /** The share of the remaining time that leaves enough for another endpoint. */
    private static final double REMAINING_SHARE = 0.45;

    /** Not to be created. */
    private Patience() {}

    /**
     * Returns how long an endpoint is waited for.
     *
     * @param latencyTargetMillis The time within which an answer is fully useful, in milliseconds.
     * @param remainingMillis The time that is left for the request, in milliseconds.
     * @return The time in milliseconds, at least one.
     */
    public static long millis(long latencyTargetMillis, long remainingMillis) {
        long expected = Math.max(SHORTEST_MILLIS, TARGET_MULTIPLE * latencyTargetMillis);
        return Math.max(1, Math.min(expected, (long) (remainingMillis * REMAINING_SHARE)));
    }
}
