package io.chicorytrestle.core.attempt;

/**
 * Decides how long a silent endpoint is waited for before a request that may be repeated is sent to
 * another one. It answers endpoints that hang, and connections that went silent.
 */
public final class AttemptTimeouts {

    /** The multiple of the latency target after which an answer is no longer expected. */
    private static final long LATENCY_TARGET_MULTIPLE = 2;

    /**
     * The shortest time in milliseconds, so that a slow connection is not taken for a silent one.
     */
    private static final long MINIMUM_ANSWER_TIMEOUT_MILLIS = 250;

    /** The share of the remaining time that leaves enough for another endpoint. */
    private static final double MAXIMUM_REMAINING_SHARE = 0.45;

    /** The multiple of the longest useful pause after which a stream counts as stalled. */
    private static final long GAP_TARGET_MULTIPLE = 3;

    /**
     * The shortest stall in milliseconds: an endpoint that makes room for urgent work pauses some
     * streams for less.
     */
    private static final long MINIMUM_STALL_TIMEOUT_MILLIS = 1_000;

    /** Not to be created. */
    private AttemptTimeouts() {}

    /**
     * Returns how long an endpoint is waited for.
     *
     * @param latencyTargetMillis The time within which an answer is fully useful, in milliseconds.
     * @param remainingMillis The time that is left for the request, in milliseconds.
     * @return The time in milliseconds, at least one.
     */
    public static long answerTimeoutMillis(long latencyTargetMillis, long remainingMillis) {
        long expected =
                Math.max(
                        MINIMUM_ANSWER_TIMEOUT_MILLIS,
                        LATENCY_TARGET_MULTIPLE * latencyTargetMillis);
        return Math.max(1, Math.min(expected, (long) (remainingMillis * MAXIMUM_REMAINING_SHARE)));
    }

    /**
     * Returns how long a stream that began may pause before it is continued at another endpoint.
     *
     * @param gapTargetMillis The longest pause that is fully useful, in milliseconds.
     * @return The time in milliseconds.
     */
    public static long stallTimeoutMillis(long gapTargetMillis) {
        return Math.max(MINIMUM_STALL_TIMEOUT_MILLIS, GAP_TARGET_MULTIPLE * gapTargetMillis);
    }
}
