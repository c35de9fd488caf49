package io.chicorytrestle.core.pause;

/**
 * Tells when this process was last seen running. Whoever is about to act on a belief with an expiry
 * asks first whether the pulse is fresh; if not, the process stood still and has not yet dropped
 * what expired meanwhile.
 *
 * @param lastStepMillis The time of the last step in milliseconds, or zero before the first.
 * @param pauseCount The number of pauses so far.
 */
public record ProcessHeartbeat(long lastStepMillis, long pauseCount) {

    /** The pulse before the first step. */
    public static final ProcessHeartbeat NONE = new ProcessHeartbeat(0, 0);

    /** The longest gap between steps that is not a pause, in milliseconds. */
    public static final long MAXIMUM_GAP_MILLIS = 1_000;

    /**
     * Returns {@code true} if this process may act on what it believes.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if no pause began since the last step.
     */
    public boolean isFresh(long nowMillis) {
        return nowMillis - lastStepMillis <= MAXIMUM_GAP_MILLIS;
    }

    /**
     * Returns the pulse of a step.
     *
     * @param nowMillis The time of the step in milliseconds.
     * @return The pulse, with one more pause if the last step is too long ago.
     */
    public ProcessHeartbeat afterStep(long nowMillis) {
        boolean isPause = lastStepMillis > 0 && !isFresh(nowMillis);
        return new ProcessHeartbeat(
                Math.max(lastStepMillis, nowMillis), isPause ? pauseCount + 1 : pauseCount);
    }
}
