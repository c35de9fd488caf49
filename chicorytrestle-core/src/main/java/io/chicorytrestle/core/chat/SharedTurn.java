package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.poison.Fingerprint;
import io.chicorytrestle.core.poison.PoisonGuard;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.routing.Admission;
import io.chicorytrestle.core.routing.WorkOutcome;
import io.chicorytrestle.core.routing.WorkRequest;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.Failures;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * Executes one chat turn for all callers that request it at the same time. An attempt first gets an
 * admission from the dispatcher, then the permission of the poison guard.
 */
final class SharedTurn {

    /** The dependencies of the turn. */
    private final ChatEnvironment environment;

    /** The settings. */
    private final ChatSettings settings;

    /** The request of the first caller. */
    private final ChatRequest request;

    /** The identifier of the request at its engines, without the suffix for the attempt. */
    private final String engineRequestId;

    /** The fingerprint of the request's content, for the poison guard. */
    private final Fingerprint fingerprint;

    /**
     * Guards all fields that follow, except the volatile one. Listeners are called while it is
     * held.
     */
    private final ReentrantLock lock = new ReentrantLock();

    /** The subscribers to the response. */
    private final List<Subscriber> subscribers = new ArrayList<>();

    /** The response received so far. */
    private final PartialResponse response = new PartialResponse();

    /** The names of the engines that failed the request; further attempts avoid them. */
    private final Set<String> excludedEngines = new HashSet<>();

    /** The combined verdict of the failed attempts. */
    private Verdict verdict = Verdict.NOT_RUN;

    /** The number of attempts started, including the current one. */
    private int attempts;

    /** The pending admission or permission to execute, or {@code null} if there is none. */
    private @Nullable CompletableFuture<?> pendingFuture;

    /** The attempt in progress, or {@code null} if there is none. */
    private @Nullable EngineAttempt currentAttempt;

    /** Called without the lock when the turn ends; may be called more than once. */
    private volatile Runnable endCallback = () -> {};

    /**
     * Creates a new turn, which is started by {@link #start}.
     *
     * @param environment The dependencies of the turn.
     * @param settings The settings.
     * @param request The request.
     * @param engineRequestId The identifier of the request at its engines.
     * @param fingerprint The fingerprint of the request's content, for the poison guard.
     * @param firstSubscriber The first subscriber to the response.
     */
    SharedTurn(
            ChatEnvironment environment,
            ChatSettings settings,
            ChatRequest request,
            String engineRequestId,
            Fingerprint fingerprint,
            Subscriber firstSubscriber) {
        this.environment = environment;
        this.settings = settings;
        this.request = request;
        this.engineRequestId = engineRequestId;
        this.fingerprint = fingerprint;
        subscribers.add(firstSubscriber);
    }

    /**
     * Sets the callback for the end of the turn.
     *
     * @param action The callback, which is called without the turn's lock and may be called more
     *     than once.
     */
    void setEndCallback(Runnable action) {
        endCallback = action;
    }

    /**
     * Adds a subscriber unless the turn has ended. The subscriber receives nothing before the next
     * {@link #deliver}.
     *
     * @param subscriber The subscriber.
     * @return {@code false} if the turn has ended.
     */
    boolean join(Subscriber subscriber) {
        lock.lock();
        try {
            if (response.isEnded()) {
                return false;
            }
            subscribers.add(subscriber);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Delivers to each subscriber what it hasn't received yet. */
    void deliver() {
        runLocked(
                () -> List.copyOf(subscribers).forEach(subscriber -> subscriber.deliver(response)));
    }

    /**
     * Starts the turn with its first attempt.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void start(long nowMillis) {
        environment.retryPolicy().onFirstAttempt();
        runLocked(() -> requestAdmission(nowMillis));
    }

    /**
     * Checks the time-outs of the current attempt.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void step(long nowMillis) {
        runLocked(
                () -> {
                    if (currentAttempt != null) {
                        currentAttempt.step(nowMillis);
                    }
                });
    }

    /**
     * Removes a subscriber whose caller cancelled. The turn is cancelled with the last one.
     *
     * @param subscriber The subscriber.
     * @param nowMillis The current time in milliseconds.
     */
    void removeSubscriber(Subscriber subscriber, long nowMillis) {
        runLocked(
                () -> {
                    subscriber.cancel();
                    subscribers.remove(subscriber);
                    if (!subscribers.isEmpty() || response.isEnded()) {
                        return;
                    }
                    response.fail(
                            RequestFailureException.mayHaveRun(
                                    FailureCode.UNAVAILABLE, "Cannot go on: no caller waits"));
                    if (pendingFuture != null) {
                        pendingFuture.cancel(false);
                    }
                    if (currentAttempt != null) {
                        currentAttempt.cancel(nowMillis);
                    }
                });
    }

    /**
     * Runs an action under the lock, and calls the end callback after the lock is released if the
     * turn has ended.
     *
     * @param action The action.
     */
    void runLocked(Runnable action) {
        boolean ended;
        lock.lock();
        try {
            action.run();
        } finally {
            ended = response.isEnded();
            lock.unlock();
        }
        if (ended && !lock.isHeldByCurrentThread()) {
            endCallback.run();
        }
    }

    /**
     * Appends the next validated chunk of the response and delivers it.
     *
     * @param text The text of the chunk.
     */
    void onText(String text) {
        response.append(text);
        deliver();
    }

    /**
     * Completes the turn with a complete response.
     *
     * @param usage The tokens that the response cost.
     * @param placement The placement token.
     */
    void onComplete(Usage usage, Optional<String> placement) {
        currentAttempt = null;
        response.complete(usage, placement);
        deliver();
    }

    /**
     * Handles a failed attempt. It is retried only if no text was received from the engine and the
     * retry policy permits it.
     *
     * @param endpoint The name of the engine.
     * @param failure The failure.
     * @param nowMillis The current time in milliseconds.
     */
    void onAttemptFailed(String endpoint, RequestFailureException failure, long nowMillis) {
        currentAttempt = null;
        excludedEngines.add(endpoint);
        verdict = verdict.combinedWith(failure.verdict());
        RetryPolicy.Progress progress =
                new RetryPolicy.Progress(attempts, true, request.deadlineMillis());
        boolean noTextReceived = response.chunks().isEmpty();
        if (noTextReceived && environment.retryPolicy().permits(failure, progress, nowMillis)) {
            requestAdmission(nowMillis);
        } else {
            fail(failure);
        }
    }

    /**
     * Fails the turn unless it has ended. If part of the response was received, the code is {@code
     * ANSWER_CUT}.
     *
     * @param failure The failure of the last attempt.
     */
    void fail(RequestFailureException failure) {
        currentAttempt = null;
        if (response.isEnded()) {
            return;
        }
        FailureCode code = response.chunks().isEmpty() ? failure.code() : FailureCode.ANSWER_CUT;
        response.fail(
                new RequestFailureException(
                        code,
                        verdict.combinedWith(failure.verdict()),
                        failure.message(),
                        failure.retryAfterMillis()));
        deliver();
    }

    /**
     * Starts an attempt: checks the request against the poison guard and requests admission.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void requestAdmission(long nowMillis) {
        attempts++;
        try {
            environment.poisonGuard().check(fingerprint, nowMillis);
        } catch (RequestFailureException failure) {
            fail(failure);
            return;
        }
        CompletableFuture<Admission> admitted =
                environment.dispatcher().admit(workRequest(), nowMillis);
        pendingFuture = admitted;
        admitted.whenComplete(
                (admission, thrown) ->
                        runLocked(
                                () -> {
                                    pendingFuture = null;
                                    if (admission == null) {
                                        fail(Failures.of(thrown));
                                    } else {
                                        requestExecution(admission);
                                    }
                                }));
    }

    /**
     * Requests the poison guard's permission to execute the request on the chosen engine.
     *
     * @param admission The admission to the engine.
     */
    private void requestExecution(Admission admission) {
        long nowMillis = environment.clock().getAsLong();
        if (response.isEnded()) {
            releaseUnused(admission, nowMillis);
            return;
        }
        CompletableFuture<PoisonGuard.Execution> permitted =
                environment
                        .poisonGuard()
                        .requestExecution(
                                fingerprint,
                                admission.endpoint(),
                                request.deadlineMillis(),
                                nowMillis);
        pendingFuture = permitted;
        permitted.whenComplete(
                (execution, thrown) ->
                        runLocked(
                                () -> {
                                    pendingFuture = null;
                                    onExecutionResult(admission, execution, thrown);
                                }));
    }

    /**
     * Starts the attempt on the engine, unless the execution was refused or the turn has ended.
     *
     * @param admission The admission to the engine.
     * @param execution The permitted execution, or {@code null} if it was refused.
     * @param thrown The refusal, or {@code null} if the execution was permitted.
     */
    private void onExecutionResult(
            Admission admission, PoisonGuard.@Nullable Execution execution, Throwable thrown) {
        long nowMillis = environment.clock().getAsLong();
        if (execution == null) {
            releaseUnused(admission, nowMillis);
            fail(Failures.of(thrown));
            return;
        }
        if (response.isEnded()) {
            execution.end(PoisonGuard.ExecutionOutcome.ABANDONED, nowMillis);
            releaseUnused(admission, nowMillis);
            return;
        }
        String attemptRequestId =
                attempts == 1 ? engineRequestId : engineRequestId + "." + attempts;
        GenerateRequest generate =
                new GenerateRequest(
                        attemptRequestId,
                        request.chat(),
                        model(),
                        request.prompt(),
                        request.maximumTokens(),
                        admission.priority());
        EngineAttempt attempt =
                new EngineAttempt(this, environment, settings, generate, admission, execution);
        currentAttempt = attempt;
        boolean mayBeKnown = attempts == 1 && request.idempotencyKey().isPresent();
        attempt.start(request.deadlineMillis(), mayBeKnown, nowMillis);
    }

    /**
     * Releases an admission that wasn't used.
     *
     * @param admission The admission.
     * @param nowMillis The current time in milliseconds.
     */
    private void releaseUnused(Admission admission, long nowMillis) {
        environment
                .dispatcher()
                .complete(
                        admission, new WorkOutcome(WorkOutcome.Result.CANCELLED, null), nowMillis);
    }

    /**
     * Returns the work request to admit, which excludes the engines that failed.
     *
     * @return The work request.
     */
    private WorkRequest workRequest() {
        return new WorkRequest(
                request.requestId(),
                request.chat(),
                request.pool(),
                request.promptTokens(),
                request.maximumTokens(),
                request.deadlineMillis(),
                request.placement(),
                excludedEngines);
    }

    /**
     * Returns the model of the request's pool.
     *
     * @return The model, or the name of the pool if the table has no row for it.
     */
    private String model() {
        return environment
                .blackboard()
                .read(Topics.TABLE)
                .pool(request.pool())
                .map(PoolRow::model)
                .orElse(request.pool());
    }
}
