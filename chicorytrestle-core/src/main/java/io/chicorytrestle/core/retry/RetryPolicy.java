package io.chicorytrestle.core.retry;

import io.chicorytrestle.core.limit.RetryBudget;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;

/** Decides whether a failed attempt is followed by another one. */
@FunctionalInterface
public interface RetryPolicy {

    /**
     * Decides on another attempt.
     *
     * @param failure The failure of the last attempt.
     * @param progress The attempts so far and the limits of the request.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if another attempt may be made.
     */
    boolean permits(RequestFailureException failure, Progress progress, long nowMillis);

    /**
     * Called before the first attempt of a request, for policies that limit retries to a share of
     * the first attempts.
     */
    default void onFirstAttempt() {
        /* no budget to replenish */
    }

    /**
     * Returns the default policy of an entry instance.
     *
     * @return A new policy that checks verdict, deadline, number of attempts and budget.
     */
    static RetryPolicy make() {
        return new ForBudget(new ForVerdict(ForVerdict.DEFAULT_ATTEMPTS), RetryBudget.make());
    }

    /**
     * Describes the attempts of a request so far and what limits further ones.
     *
     * @param attempts The number of failed attempts.
     * @param idempotent {@code true} if executing the request twice equals executing it once.
     * @param deadlineMillis The time by which the request has to be answered, in milliseconds.
     */
    record Progress(int attempts, boolean idempotent, long deadlineMillis) {}

    /**
     * Permits a retry if the verdict and the deadline allow it, up to a maximum number of attempts.
     *
     * @param maximumAttempts The maximum number of attempts of one request, the first included.
     */
    record ForVerdict(int maximumAttempts) implements RetryPolicy {

        /** The default maximum number of attempts of one request. */
        public static final int DEFAULT_ATTEMPTS = 3;

        @Override
        public boolean permits(RequestFailureException failure, Progress progress, long nowMillis) {
            return progress.attempts() < maximumAttempts
                    && nowMillis < progress.deadlineMillis()
                    && isEndpointSpecific(failure.code())
                    && failure.verdict().allowsRepeat(progress.idempotent());
        }

        /**
         * Returns {@code true} if another endpoint might succeed.
         *
         * @param code The code of the failure.
         * @return {@code true} if the failure may be specific to one endpoint.
         */
        private static boolean isEndpointSpecific(FailureCode code) {
            return switch (code) {
                case UNAVAILABLE, NO_ENDPOINT, ENDPOINT_FAILED, ANSWER_CUT, NOT_FOUND, OVERLOADED ->
                        true;
                default -> false;
            };
        }
    }

    /**
     * Permits a retry if another policy does and the budget holds a whole retry, which is then
     * spent.
     *
     * @param policy The other policy, which is evaluated first.
     * @param budget The budget that retries are spent from.
     */
    record ForBudget(RetryPolicy policy, RetryBudget budget) implements RetryPolicy {

        @Override
        public void onFirstAttempt() {
            budget.onFirstAttempt();
        }

        @Override
        public boolean permits(RequestFailureException failure, Progress progress, long nowMillis) {
            return policy.permits(failure, progress, nowMillis) && budget.trySpend();
        }
    }
}
