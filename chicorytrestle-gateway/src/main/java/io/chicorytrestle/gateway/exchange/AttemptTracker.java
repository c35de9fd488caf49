package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.AttemptState;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.limit.RetryBudget;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.verdict.Verdict;

/**
 * Counts the attempts of one request, decides on retries and charges them to the retry budget. It
 * is confined to one thread.
 */
final class AttemptTracker {

    /** The number of failed connections after which the request is not retried. */
    private static final int MAXIMUM_FAILED_CONNECTS = 4;

    /** The route, which limits the attempts. */
    private final Route route;

    /** The budget for retries that all requests for the service share. */
    private final RetryBudget budget;

    /** Whether any attempt so far may have run the request. */
    private Verdict verdict = Verdict.NOT_RUN;

    /** The number of attempts in which the request was sent. */
    private int sends;

    /** The number of attempts in which no connection could be established. */
    private int failedConnects;

    /** Whether the next attempt was already charged to the retry budget. */
    private boolean isRetryCharged;

    /**
     * Whether the request must not be retried, because endpoints crash when they run it or no other
     * response could continue the one that was begun.
     */
    private boolean isRetryForbidden;

    /**
     * Creates a tracker and counts the first attempt towards the budget.
     *
     * @param route The route, which limits the attempts.
     * @param budget The budget for retries that all requests for the service share.
     */
    AttemptTracker(Route route, RetryBudget budget) {
        this.route = route;
        this.budget = budget;
        budget.onFirstAttempt();
    }

    /**
     * Returns whether any attempt may have run the request.
     *
     * @return The combined verdict of all attempts.
     */
    Verdict verdict() {
        return verdict;
    }

    /**
     * Returns how often the request was sent.
     *
     * @return The number of attempts in which the request was sent.
     */
    int sends() {
        return sends;
    }

    /** Records that the request was sent. */
    void recordSend() {
        sends++;
    }

    /**
     * Combines the verdict of an attempt with those of earlier ones.
     *
     * @param attemptVerdict Whether the attempt may have run the request.
     */
    void recordVerdict(Verdict attemptVerdict) {
        verdict = verdict.combinedWith(attemptVerdict);
    }

    /** Records that no connection could be established. */
    void recordFailedConnect() {
        failedConnects++;
    }

    /**
     * Forbids further attempts, because endpoints crash when they run the request or no other
     * response could continue the one that was begun.
     */
    void forbidRetries() {
        isRetryForbidden = true;
    }

    /**
     * Decides what follows a failed attempt, and charges a retry to the budget unless it was
     * charged before. An attempt that was never sent is free.
     *
     * @param wasSent Whether the failed attempt sent the request.
     * @param isResponseStarted Whether a part of a response was forwarded.
     * @param remainingMillis The time until the deadline in milliseconds.
     * @return The next step, which is no retry if the budget is exhausted.
     */
    NextStep nextStep(boolean wasSent, boolean isResponseStarted, long remainingMillis) {
        NextStep next = state(verdict, mayRetry(), isResponseStarted, remainingMillis).next();
        boolean mustCharge = next.isRetry() && wasSent && !isRetryCharged;
        isRetryCharged = false;
        return mustCharge && !budget.trySpend()
                ? state(verdict, false, isResponseStarted, remainingMillis).next()
                : next;
    }

    /**
     * Decides whether an attempt under way may be abandoned for another one, and if so charges the
     * retry to the budget.
     *
     * @param attemptVerdict Whether the attempt may have run the request.
     * @param wasSent Whether the attempt sent the request.
     * @param isResponseStarted Whether a part of a response was forwarded.
     * @param remainingMillis The time until the deadline in milliseconds.
     * @return {@code true} if another attempt follows.
     */
    boolean tryAbandonAttempt(
            Verdict attemptVerdict,
            boolean wasSent,
            boolean isResponseStarted,
            long remainingMillis) {
        AttemptState state =
                state(
                        verdict.combinedWith(attemptVerdict),
                        mayRetry(),
                        isResponseStarted,
                        remainingMillis);
        if (!state.next().isRetry() || (wasSent && !budget.trySpend())) {
            return false;
        }
        isRetryCharged = wasSent;
        return true;
    }

    /**
     * Returns {@code true} if neither failed connections nor crashes forbid another attempt.
     *
     * @return {@code true} if another attempt may be made, as far as the budget allows.
     */
    private boolean mayRetry() {
        return failedConnects < MAXIMUM_FAILED_CONNECTS && !isRetryForbidden;
    }

    /**
     * Returns the input for the decision on the next step.
     *
     * @param combinedVerdict Whether the request may have run.
     * @param isRetryAllowed Whether another attempt may be made.
     * @param isResponseStarted Whether a part of a response was forwarded.
     * @param remainingMillis The time until the deadline in milliseconds.
     * @return The state of the request.
     */
    private AttemptState state(
            Verdict combinedVerdict,
            boolean isRetryAllowed,
            boolean isResponseStarted,
            long remainingMillis) {
        return new AttemptState(
                route.repeatability(),
                combinedVerdict,
                sends,
                route.maximumAttempts(),
                isResponseStarted,
                isRetryAllowed,
                remainingMillis);
    }
}
