package io.chicorytrestle.core.attempt;

import io.chicorytrestle.core.route.Repeatability;
import io.chicorytrestle.core.verdict.Verdict;

/**
 * Describes a request whose latest attempt failed, from which the next step is decided.
 *
 * @param repeatability Whether the request may be executed more than once and whether its stream
 *     may be resumed.
 * @param verdict Whether any attempt may have executed the request.
 * @param attempts The number of endpoints to which the request was sent.
 * @param maximumAttempts The maximum number of endpoints to which the request may be sent, at least
 *     one.
 * @param isAnswerStarted Whether part of an answer was forwarded to the caller.
 * @param isRetryAllowed Whether the fleet's retry budget allows another attempt.
 * @param remainingMillis The time until the request's deadline in milliseconds.
 */
public record AttemptState(
        Repeatability repeatability,
        Verdict verdict,
        int attempts,
        int maximumAttempts,
        boolean isAnswerStarted,
        boolean isRetryAllowed,
        long remainingMillis) {

    /** The remaining time in milliseconds below which no endpoint can answer any more. */
    public static final long MINIMUM_REMAINING_MILLIS = 20;

    /** Rejects counts that are out of range. */
    public AttemptState {
        if (attempts < 0 || maximumAttempts < 1) {
            throw new IllegalArgumentException(
                    "Attempts must not be negative and maximum attempts must be positive: "
                            + attempts
                            + ", "
                            + maximumAttempts);
        }
    }

    /**
     * Decides what follows the failed attempt.
     *
     * @return The next step, which is a retry only if attempts, budget and time are left.
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
