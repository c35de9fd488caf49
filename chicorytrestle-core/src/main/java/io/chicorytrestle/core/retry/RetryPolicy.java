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
     * @param failure How the last attempt failed.
     * @param progress What was tried so far.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if another attempt may be made.
     */
    boolean permits(RequestFailureException failure, Progress progress, long nowMillis);

    /** Takes note of the first attempt of a request. */
    default void onFirstAttempt() {
        /* do nothing */
    }

    /**
     * Returns the policy of an ordinary entry instance.
     *
     * @return A new policy by verdict, deadline and budget.
     */
    static RetryPolicy make() {
        return new ForBudget(new ForVerdict(ForVerdict.DEFAULT_ATTEMPTS), RetryBudget.make());
    }

    /**
     * Tells what was tried so far.
     *
     * @param attempts The attempts that failed.
     * @param idempotent {@code true} if executing the request twice equals executing it once.
     * @param deadlineMillis The time by which the request has to be answered, in milliseconds.
     */
    record Progress(int attempts, boolean idempotent, long deadlineMillis) {}

    /**
     * Permits what the verdict and the deadline allow, up to a number of attempts.
     *
     * @param maximumAttempts The most attempts of one request.
     */
    record ForVerdict(int maximumAttempts) implements RetryPolicy {

        /** The attempts of one request in the ordinary case. */
        public static final int DEFAULT_ATTEMPTS = 3;

        @Override
        public boolean permits(RequestFailureException failure, Progress progress, long nowMillis) {
            return progress.attempts() < maximumAttempts
                    && nowMillis < progress.deadlineMillis()
                    && isEndpointSpecific(failure.code())
                    && failure.verdict().allowsRepeat(progress.idempotent());
        }

        /**
         * Returns {@code true} if another endpoint might do better.
         *
         * @param code The code of the failure.
         * @return {@code true} if the failure lies with one endpoint.
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
     * Permits what another policy permits, as long as the budget lasts.
     *
     * @param policy The other policy.
     * @param budget The budget.
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
