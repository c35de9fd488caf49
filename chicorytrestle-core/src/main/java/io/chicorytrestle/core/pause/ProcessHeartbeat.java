package io.chicorytrestle.core.pause;

/**
 * Records when this process last ran a step. Code that is about to act on state with an expiry must
 * first check that the heartbeat is fresh. If it is not, the process was paused and has not yet
 * dropped what expired meanwhile.
 *
 * @param lastStepMillis The time of the last step in milliseconds, or zero before the first step.
 * @param pauseCount The number of pauses that were detected so far.
 */
public record ProcessHeartbeat(long lastStepMillis, long pauseCount) {

    /** The heartbeat before the first step. */
    public static final ProcessHeartbeat NONE = new ProcessHeartbeat(0, 0);

    /** The longest gap between steps that is not a pause, in milliseconds. */
    public static final long MAXIMUM_GAP_MILLIS = 1_000;

    /**
     * Returns {@code true} if this process may act on state with an expiry.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if no pause began since the last step.
     */
    public boolean isFresh(long nowMillis) {
        return nowMillis - lastStepMillis <= MAXIMUM_GAP_MILLIS;
    }

    /**
     * Returns the heartbeat after a step.
     *
     * @param nowMillis The time of the step in milliseconds.
     * @return The new heartbeat, with one more pause if the gap since the last step exceeds {@link
     *     #MAXIMUM_GAP_MILLIS}.
     */
    public ProcessHeartbeat afterStep(long nowMillis) {
        boolean isPause = lastStepMillis > 0 && !isFresh(nowMillis);
        return new ProcessHeartbeat(
                Math.max(lastStepMillis, nowMillis), isPause ? pauseCount + 1 : pauseCount);
    }
}
