package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;

/** Refuses or delays requests that crash endpoints. Implementations are thread-safe. */
public interface PoisonGuard {

    /**
     * Checks a request before an endpoint is chosen for it.
     *
     * @param fingerprint The request's fingerprint.
     * @param nowMillis The current time in milliseconds.
     * @throws RequestFailureException If the request is quarantined.
     */
    void check(Fingerprint fingerprint, long nowMillis) throws RequestFailureException;

    /**
     * Requests permission to execute a request on an endpoint.
     *
     * @param fingerprint The request's fingerprint.
     * @param endpoint The endpoint.
     * @param deadlineMillis The time by which the execution has to start, in milliseconds.
     * @param nowMillis The current time in milliseconds.
     * @return The execution, which completes only after other suspects have left the endpoint if
     *     the request is a suspect itself. It fails with a {@link RequestFailureException} if the
     *     request must not be executed.
     */
    CompletableFuture<Execution> requestExecution(
            Fingerprint fingerprint, Endpoint endpoint, long deadlineMillis, long nowMillis);

    /** A permitted execution of a request on an endpoint, which must be ended exactly once. */
    interface Execution {

        /**
         * Ends the execution.
         *
         * @param outcome How the execution ended.
         * @param nowMillis The current time in milliseconds.
         */
        void end(ExecutionOutcome outcome, long nowMillis);
    }

    /** Enumerates how executions end. */
    enum ExecutionOutcome {

        /** The endpoint completed the request. */
        COMPLETED,

        /**
         * The execution was cancelled or never started, so that it says nothing about the request.
         */
        ABANDONED,

        /** The endpoint crashed during the execution. */
        CRASHED
    }

    /** A guard that permits every execution at once. */
    enum NoOp implements PoisonGuard {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void check(Fingerprint fingerprint, long nowMillis) {
            /* every request is permitted */
        }

        @Override
        public CompletableFuture<Execution> requestExecution(
                Fingerprint fingerprint, Endpoint endpoint, long deadlineMillis, long nowMillis) {
            return CompletableFuture.completedFuture((outcome, endMillis) -> {});
        }
    }
}
