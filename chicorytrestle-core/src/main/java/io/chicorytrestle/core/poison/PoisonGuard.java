package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;

/** Holds back requests that crash endpoints. Several threads may call it. */
public interface PoisonGuard {

    /**
     * Checks a request before it asks for an endpoint.
     *
     * @param fingerprint The request's fingerprint.
     * @param nowMillis The present time in milliseconds.
     * @throws RequestFailureException If the request is quarantined.
     */
    void check(Fingerprint fingerprint, long nowMillis) throws RequestFailureException;

    /**
     * Asks to run a request on an endpoint.
     *
     * @param fingerprint The request's fingerprint.
     * @param endpoint The endpoint.
     * @param deadlineMillis The time by which the run has to be started, in milliseconds.
     * @param nowMillis The present time in milliseconds.
     * @return The run, possibly after other suspects have left the endpoint. It fails with a {@link
     *     RequestFailureException} if the request must not run.
     */
    CompletableFuture<Execution> requestExecution(
            Fingerprint fingerprint, Endpoint endpoint, long deadlineMillis, long nowMillis);

    /** A run of a request on an endpoint, which is ended exactly once. */
    interface Execution {

        /**
         * Ends the run.
         *
         * @param ending How the run ended.
         * @param nowMillis The present time in milliseconds.
         */
        void end(ExecutionOutcome ending, long nowMillis);
    }

    /** Enumerates how runs end. */
    enum ExecutionOutcome {

        /** The endpoint finished the request. */
        COMPLETED,

        /** The run was given up, or never began. */
        ABANDONED,

        /** The endpoint crashed during the run. */
        CRASHED
    }

    /** A guard that lets everything pass. */
    enum NoOp implements PoisonGuard {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void check(Fingerprint fingerprint, long nowMillis) {
            /* do nothing */
        }

        @Override
        public CompletableFuture<Execution> requestExecution(
                Fingerprint fingerprint, Endpoint endpoint, long deadlineMillis, long nowMillis) {
            return CompletableFuture.completedFuture((ending, endMillis) -> {});
        }
    }
}
