package io.chicorytrestle.core.attempt;

import io.chicorytrestle.core.route.Repeatability;
import io.chicorytrestle.core.verdict.Verdict;

/**
 * Describes a request whose latest attempt failed.
 *
 * @param repeatability How often the request may be executed.
 * @param verdict Whether the request may have been executed by any attempt.
 * @param attempts The endpoints to which the request was sent.
 * @param maximumAttempts The most endpoints to which the request may be sent.
 * @param isAnswerStarted Whether part of an answer was passed on.
 * @param isRetryAllowed Whether the fleet's retry budget allows another attempt.
 * @param remainingMillis The time left in milliseconds.
 */
public record AttemptState(
        Repeatability repeatability,
        Verdict verdict,
        int attempts,
        int maximumAttempts,
        boolean isAnswerStarted,
        boolean isRetryAllowed,
        long remainingMillis) {

    /** The time in milliseconds below which no endpoint can still answer. */
    private static final long MINIMUM_REMAINING_MILLIS = 20;

    /** Checks the counts. */
    public AttemptState {
        if (attempts < 0 || maximumAttempts < 1) {
            throw new IllegalArgumentException(
                    "Attempt counts are out of range: " + attempts + ", " + maximumAttempts);
        }
    }

    /**
     * Decides what follows.
     *
     * @return The next step.
     */
    public NextStep next() {
        boolean canSend =
                attempts < maximumAttempts
                        && isRetryAllowed
                        && remainingMillis > MINIMUM_REMAINING_MILLIS;
        if (isAnswerStarted) {
            return canSend && repeatability.allowsResume() ? NextStep.RESUME : NextStep.CUT;
        }
        if (canSend && repeatability.allowsRepeat(verdict)) {
            return NextStep.REPEAT;
        }
        return verdict == Verdict.NOT_RUN ? NextStep.REFUSE : NextStep.FAIL;
    }
}
