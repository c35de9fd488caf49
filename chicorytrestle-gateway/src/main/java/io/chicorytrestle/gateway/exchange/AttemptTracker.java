package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.attempt.AttemptState;
import io.chicorytrestle.core.attempt.NextStep;
import io.chicorytrestle.core.limit.RetryBudget;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.verdict.Verdict;

/** Counts the attempts of one request and pays for repetitions. It is confined to one thread. */
final class AttemptTracker {

    /** The most endpoints to which connections are tried, beside those that were sent to. */
    private static final int MAXIMUM_FAILED_CONNECTS = 4;

    /** The route. */
    private final Route route;

    /** Limits the repetitions of all requests for the service. */
    private final RetryBudget budget;

    /** Whether any attempt may have run the request. */
    private Verdict verdict = Verdict.NOT_RUN;

    /** The endpoints to which the request was sent. */
    private int sends;

    /** The endpoints to which no connection could be made. */
    private int failedConnects;

    /** Whether the retry budget was charged for the next attempt. */
    private boolean isRetryCharged;

    /** Whether the request must not be repeated, since endpoints crash under it. */
    private boolean isRetryForbidden;

    /**
     * Creates a new progress.
     *
     * @param route The route.
     * @param budget Limits the repetitions of all requests for the service.
     */
    AttemptTracker(Route route, RetryBudget budget) {
        this.route = route;
        this.budget = budget;
        budget.onFirstAttempt();
    }

    /**
     * Returns whether any attempt may have run the request.
     *
     * @return The verdict.
     */
    Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the endpoints to which the request was sent.
     *
     * @return The number of endpoints.
     */
    int sends() {
        return sends;
    }

    /** Takes note of a request that was written. */
    void recordSend() {
        sends++;
    }

    /**
     * Takes note of what an attempt may have done.
     *
     * @param attempted Whether the attempt may have run the request.
     */
    void recordVerdict(Verdict attempted) {
        verdict = verdict.combinedWith(attempted);
    }

    /** Takes note of an endpoint to which no connection could be made. */
    void failedConnects() {
        failedConnects++;
    }

    /** Takes note that endpoints crash under the request, so that it is not repeated. */
    void forbidRetries() {
        isRetryForbidden = true;
    }

    /**
     * Decides what follows a failed attempt, and pays for a repetition.
     *
     * @param wasSent Whether the failed attempt reached an endpoint.
     * @param isAnswerStarted Whether part of an answer was passed on.
     * @param remainingMillis The time left in milliseconds.
     * @return What follows.
     */
    NextStep nextStep(boolean wasSent, boolean isAnswerStarted, long remainingMillis) {
        NextStep next = state(verdict, mayRetry(), isAnswerStarted, remainingMillis).next();
        boolean mustPay = next.isRetry() && wasSent && !isRetryCharged;
        isRetryCharged = false;
        return mustPay && !budget.trySpend()
                ? state(verdict, false, isAnswerStarted, remainingMillis).next()
                : next;
    }

    /**
     * Decides whether an attempt that is still under way may be given up for another one, and pays
     * for that if so.
     *
     * @param attempted Whether the attempt may have run the request.
     * @param wasSent Whether the attempt reached an endpoint.
     * @param isAnswerStarted Whether part of an answer was passed on.
     * @param remainingMillis The time left in milliseconds.
     * @return {@code true} if another attempt follows.
     */
    boolean tryAbandonAttempt(
            Verdict attempted, boolean wasSent, boolean isAnswerStarted, long remainingMillis) {
        AttemptState state =
                state(
                        verdict.combinedWith(attempted),
                        mayRetry(),
                        isAnswerStarted,
                        remainingMillis);
        if (!state.next().isRetry() || (wasSent && !budget.trySpend())) {
            return false;
        }
        isRetryCharged = wasSent;
        return true;
    }

    /**
     * Returns {@code true} if the request itself does not forbid another attempt.
     *
     * @return {@code true} if another attempt may be made.
     */
    private boolean mayRetry() {
        return failedConnects < MAXIMUM_FAILED_CONNECTS && !isRetryForbidden;
    }

    /**
     * Returns the state of the request.
     *
     * @param assumed Whether the request may have been executed.
     * @param isRetryAllowed Whether another attempt may be made.
     * @param isAnswerStarted Whether part of an answer was passed on.
     * @param remainingMillis The time left in milliseconds.
     * @return The state.
     */
    private AttemptState state(
            Verdict assumed,
            boolean isRetryAllowed,
            boolean isAnswerStarted,
            long remainingMillis) {
        return new AttemptState(
                route.repeatability(),
                assumed,
                sends,
                route.maximumAttempts(),
                isAnswerStarted,
                isRetryAllowed,
                remainingMillis);
    }
}
