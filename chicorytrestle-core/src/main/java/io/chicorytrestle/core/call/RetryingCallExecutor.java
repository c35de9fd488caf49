package io.chicorytrestle.core.call;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.endpoint.ServiceRequest;
import io.chicorytrestle.core.endpoint.ServiceResponse;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.membership.EndpointState;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.routing.Admission;
import io.chicorytrestle.core.routing.Dispatcher;
import io.chicorytrestle.core.routing.WorkOutcome;
import io.chicorytrestle.core.routing.WorkRequest;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.Failures;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Executes calls on plain services and retries failed attempts as far as the retry policy permits.
 */
final class RetryingCallExecutor {

    /** Provides the membership of the fleet. */
    private final Blackboard blackboard;

    /** Admits attempts and chooses their endpoints. */
    private final Dispatcher dispatcher;

    /** The client of the plain services. */
    private final ServiceClient services;

    /** Decides whether a failed attempt is retried. */
    private final RetryPolicy retryPolicy;

    /** Returns the current time in milliseconds. */
    private final LongSupplier clock;

    /**
     * Creates a new executor.
     *
     * @param blackboard Provides the membership of the fleet.
     * @param dispatcher Admits attempts and chooses their endpoints.
     * @param services The client of the plain services.
     * @param retryPolicy Decides whether a failed attempt is retried.
     * @param clock Returns the current time in milliseconds.
     */
    RetryingCallExecutor(
            Blackboard blackboard,
            Dispatcher dispatcher,
            ServiceClient services,
            RetryPolicy retryPolicy,
            LongSupplier clock) {
        this.blackboard = blackboard;
        this.dispatcher = dispatcher;
        this.services = services;
        this.retryPolicy = retryPolicy;
        this.clock = clock;
    }

    /**
     * Executes a call, with retries on other endpoints if they are permitted.
     *
     * @param call The call.
     * @param retryable {@code true} if the call may be retried after an attempt that may have run.
     * @param startCondition Evaluated with the current time immediately before the first byte of
     *     each attempt is written; {@code false} prevents the attempt.
     * @param nowMillis The current time in milliseconds.
     * @return The complete response. It fails with the combined verdict of all attempts.
     */
    CompletableFuture<ServiceResponse> execute(
            ServiceCall call, boolean retryable, LongPredicate startCondition, long nowMillis) {
        CompletableFuture<ServiceResponse> response = new CompletableFuture<>();
        retryPolicy.onFirstAttempt();
        new CallExecution(call, retryable, startCondition, response).startAttempt(nowMillis);
        return response;
    }

    /**
     * Returns {@code true} if an endpoint is still a member and isn't leaving.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if the endpoint accepts work according to this instance's membership
     *     view.
     */
    private boolean acceptsWork(Endpoint endpoint) {
        return blackboard.read(Topics.MEMBERSHIP).endpoints().stream()
                .filter(member -> member.endpoint().identity().equals(endpoint.identity()))
                .anyMatch(member -> member.state() != EndpointState.LEAVING);
    }

    /** Executes one call by consecutive attempts. */
    private final class CallExecution {

        /** The call. */
        private final ServiceCall call;

        /** Whether the call may be retried after an attempt that may have run. */
        private final boolean retryable;

        /**
         * Evaluated with the current time immediately before the first byte of each attempt is
         * written; {@code false} prevents the attempt.
         */
        private final LongPredicate startCondition;

        /** Completed with the response or the final failure. */
        private final CompletableFuture<ServiceResponse> response;

        /** The names of the endpoints that failed the call; further attempts avoid them. */
        private final Set<String> excludedEndpoints = new HashSet<>();

        /** The number of attempts made, including the current one. */
        private int attempts;

        /** The combined verdict of the failed attempts. */
        private Verdict verdict = Verdict.NOT_RUN;

        /**
         * Creates the execution of a call.
         *
         * @param call The call.
         * @param retryable Whether the call may be retried after an attempt that may have run.
         * @param startCondition Evaluated with the current time immediately before the first byte
         *     of each attempt is written; {@code false} prevents the attempt.
         * @param response Completed with the response or the final failure.
         */
        private CallExecution(
                ServiceCall call,
                boolean retryable,
                LongPredicate startCondition,
                CompletableFuture<ServiceResponse> response) {
            this.call = call;
            this.retryable = retryable;
            this.startCondition = startCondition;
            this.response = response;
        }

        /**
         * Requests admission and sends the call to the endpoint that it grants.
         *
         * @param nowMillis The current time in milliseconds.
         */
        private void startAttempt(long nowMillis) {
            attempts++;
            dispatcher
                    .admit(workRequest(), nowMillis)
                    .whenComplete(
                            (admission, thrown) -> {
                                if (admission == null) {
                                    fail(Failures.of(thrown));
                                } else {
                                    send(admission);
                                }
                            });
        }

        /**
         * Returns the work request to admit. A service call has no chat and costs no tokens.
         *
         * @return The work request.
         */
        private WorkRequest workRequest() {
            return new WorkRequest(
                    call.requestId(),
                    new ChatKey(call.workspace(), call.requestId()),
                    call.pool(),
                    0,
                    0,
                    call.deadlineMillis(),
                    Optional.empty(),
                    excludedEndpoints);
        }

        /**
         * Sends the call to the admitted endpoint. Nothing is written if the deadline has passed,
         * the endpoint no longer accepts work or the start condition forbids it.
         *
         * @param admission The admission of the attempt.
         */
        private void send(Admission admission) {
            WriteGuard guard =
                    new WriteGuard(
                            now ->
                                    now < call.deadlineMillis()
                                            && acceptsWork(admission.endpoint())
                                            && startCondition.test(now));
            ServiceRequest request =
                    new ServiceRequest(
                            call.requestId(),
                            call.operation(),
                            call.body(),
                            call.idempotencyKey(),
                            call.deadlineMillis());
            services.execute(admission.endpoint(), request, guard)
                    .whenComplete(
                            (result, thrown) -> onAttemptEnded(admission, guard, result, thrown));
        }

        /**
         * Completes the call, retries it or fails it after an attempt has ended.
         *
         * @param admission The admission of the attempt.
         * @param guard The write guard of the attempt.
         * @param result The complete response, or {@code null} if the attempt failed.
         * @param thrown The failure, or {@code null} if the attempt succeeded.
         */
        private void onAttemptEnded(
                Admission admission,
                WriteGuard guard,
                @Nullable ServiceResponse result,
                Throwable thrown) {
            long nowMillis = clock.getAsLong();
            if (result != null) {
                dispatcher.complete(
                        admission, new WorkOutcome(WorkOutcome.Result.DONE, null), nowMillis);
                response.complete(result);
                return;
            }
            boolean nothingWritten = guard.abandon();
            RequestFailureException failure = Failures.of(thrown);
            dispatcher.complete(
                    admission, new WorkOutcome(resultOf(failure, nothingWritten), null), nowMillis);
            verdict = verdict.combinedWith(failure.verdict());
            excludedEndpoints.add(admission.endpoint().name());
            RetryPolicy.Progress progress =
                    new RetryPolicy.Progress(attempts, retryable, call.deadlineMillis());
            if (retryPolicy.permits(failure, progress, nowMillis)) {
                startAttempt(nowMillis);
            } else {
                fail(failure);
            }
        }

        /**
         * Returns the result that is reported to the dispatcher for a failed attempt.
         *
         * @param failure The failure.
         * @param nothingWritten {@code true} if the attempt was never permitted to write.
         * @return {@code REFUSED} if the endpoint refused the call, otherwise {@code BROKEN}.
         */
        private WorkOutcome.Result resultOf(
                RequestFailureException failure, boolean nothingWritten) {
            boolean refused = failure.verdict() == Verdict.NOT_RUN && !nothingWritten;
            return refused ? WorkOutcome.Result.REFUSED : WorkOutcome.Result.BROKEN;
        }

        /**
         * Fails the call with the combined verdict of all attempts. If there is no endpoint left
         * for a retry, the code reports the failed endpoints instead.
         *
         * @param failure The last failure.
         */
        private void fail(RequestFailureException failure) {
            FailureCode code =
                    attempts > 1 && failure.code() == FailureCode.NO_ENDPOINT
                            ? FailureCode.ENDPOINT_FAILED
                            : failure.code();
            response.completeExceptionally(
                    new RequestFailureException(
                            code,
                            verdict.combinedWith(failure.verdict()),
                            failure.message(),
                            failure.retryAfterMillis()));
        }
    }
}
