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

/** Sends calls to plain services and repeats attempts where that keeps every promise. */
final class RetryingCallExecutor {

    /** Holds the view of the fleet. */
    private final Blackboard blackboard;

    /** Chooses the endpoints. */
    private final Dispatcher dispatcher;

    /** Reaches the plain services. */
    private final ServiceClient services;

    /** Decides on further attempts. */
    private final RetryPolicy retryPolicy;

    /** Tells the present time in milliseconds. */
    private final LongSupplier clock;

    /**
     * Creates a new sender.
     *
     * @param blackboard Holds the view of the fleet.
     * @param dispatcher Chooses the endpoints.
     * @param services Reaches the plain services.
     * @param retries Decides on further attempts.
     * @param clock Tells the present time in milliseconds.
     */
    RetryingCallExecutor(
            Blackboard blackboard,
            Dispatcher dispatcher,
            ServiceClient services,
            RetryPolicy retries,
            LongSupplier clock) {
        this.blackboard = blackboard;
        this.dispatcher = dispatcher;
        this.services = services;
        this.retryPolicy = retries;
        this.clock = clock;
    }

    /**
     * Executes a call.
     *
     * @param call The call.
     * @param repeatable {@code true} if the call may be sent again after it may have run.
     * @param mayStart Asked immediately before the first byte of each attempt is written.
     * @param nowMillis The present time in milliseconds.
     * @return The whole answer, or the failure with the verdict over all attempts.
     */
    CompletableFuture<ServiceResponse> execute(
            ServiceCall call, boolean repeatable, LongPredicate mayStart, long nowMillis) {
        CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
        retryPolicy.onFirstAttempt();
        new CallExecution(call, repeatable, mayStart, answer).startAttempt(nowMillis);
        return answer;
    }

    /**
     * Returns {@code true} if an endpoint is still listed and does not leave.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if the endpoint takes work as far as this instance knows.
     */
    private boolean acceptsWork(Endpoint endpoint) {
        return blackboard.read(Topics.MEMBERSHIP).endpoints().stream()
                .filter(member -> member.endpoint().identity().equals(endpoint.identity()))
                .anyMatch(member -> member.state() != EndpointState.LEAVING);
    }

    /** The attempts of one call, which follow each other. */
    private final class CallExecution {

        /** The call. */
        private final ServiceCall call;

        /** Whether the call may be sent again after it may have run. */
        private final boolean retryable;

        /** Asked immediately before the first byte of each attempt is written. */
        private final LongPredicate startCondition;

        /** Receives the answer. */
        private final CompletableFuture<ServiceResponse> response;

        /** The endpoints that failed the call. */
        private final Set<String> excludedEndpoints = new HashSet<>();

        /** The attempts that were made. */
        private int attempts;

        /** The verdict over the attempts that failed. */
        private Verdict verdict = Verdict.NOT_RUN;

        /**
         * Creates a new run.
         *
         * @param call The call.
         * @param repeatable Whether the call may be sent again after it may have run.
         * @param mayStart Asked immediately before the first byte of each attempt is written.
         * @param answer Receives the answer.
         */
        private CallExecution(
                ServiceCall call,
                boolean repeatable,
                LongPredicate mayStart,
                CompletableFuture<ServiceResponse> answer) {
            this.call = call;
            this.retryable = repeatable;
            this.startCondition = mayStart;
            this.response = answer;
        }

        /**
         * Asks for an endpoint and makes an attempt on it.
         *
         * @param nowMillis The present time in milliseconds.
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
         * Returns the work to ask an endpoint for.
         *
         * @return The work.
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
         * Sends the call to an endpoint.
         *
         * @param admission The permission to use the endpoint.
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
         * Ends an attempt.
         *
         * @param admission The permission to use the endpoint.
         * @param guard The attempt's permission to write.
         * @param result The whole answer, or {@code null} if the attempt failed.
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
            boolean untouched = guard.abandon();
            RequestFailureException failure = Failures.of(thrown);
            dispatcher.complete(
                    admission, new WorkOutcome(resultOf(failure, untouched), null), nowMillis);
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
         * Returns how an attempt that failed is reported.
         *
         * @param failure The failure.
         * @param untouched {@code true} if nothing was written.
         * @return How the attempt ended.
         */
        private WorkOutcome.Result resultOf(RequestFailureException failure, boolean untouched) {
            boolean refused = failure.verdict() == Verdict.NOT_RUN && !untouched;
            return refused ? WorkOutcome.Result.REFUSED : WorkOutcome.Result.BROKEN;
        }

        /**
         * Fails the call with the verdict over all attempts.
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
