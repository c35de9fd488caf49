package io.chicorytrestle.core.attempt;

/**
 * Computes how long to wait for an endpoint that sends nothing before a request that may be
 * repeated is sent to another one. This covers endpoints that hang and connections on which packets
 * are lost.
 */
public final class AttemptTimeouts {

    /** The multiple of the latency target after which an answer is no longer expected. */
    private static final long LATENCY_TARGET_MULTIPLE = 2;

    /**
     * The shortest time-out for an answer in milliseconds, so that a slow connection is not
     * mistaken for a dead one.
     */
    private static final long MINIMUM_ANSWER_TIMEOUT_MILLIS = 250;

    /**
     * The largest share of the remaining time that may be used, so that enough is left for another
     * endpoint.
     */
    private static final double MAXIMUM_REMAINING_SHARE = 0.45;

    /**
     * The multiple of the target for the gap between events after which a stream counts as stalled.
     */
    private static final long GAP_TARGET_MULTIPLE = 3;

    /**
     * The shortest time-out for a stalled stream in milliseconds: an endpoint that preempts streams
     * in favour of urgent work pauses them for less.
     */
    private static final long MINIMUM_STALL_TIMEOUT_MILLIS = 1_000;

    /** Prevents instantiation. */
    private AttemptTimeouts() {}

    /**
     * Returns how long to wait for the beginning of an answer.
     *
     * @param latencyTargetMillis The time within which an answer is fully useful, in milliseconds.
     * @param remainingMillis The time until the request's deadline, in milliseconds; may be
     *     negative.
     * @return The time-out in milliseconds, at least one.
     */
    public static long answerTimeoutMillis(long latencyTargetMillis, long remainingMillis) {
        long expected =
                Math.max(
                        MINIMUM_ANSWER_TIMEOUT_MILLIS,
                        LATENCY_TARGET_MULTIPLE * latencyTargetMillis);
        return Math.max(1, Math.min(expected, (long) (remainingMillis * MAXIMUM_REMAINING_SHARE)));
    }

    /**
     * Returns how long a stream that has begun may pause before it is resumed at another endpoint.
     *
     * @param gapTargetMillis The longest pause between events that is fully useful, in
     *     milliseconds, or zero if none is stated.
     * @return The time-out in milliseconds.
     */
    public static long stallTimeoutMillis(long gapTargetMillis) {
        return Math.max(MINIMUM_STALL_TIMEOUT_MILLIS, GAP_TARGET_MULTIPLE * gapTargetMillis);
    }
}
