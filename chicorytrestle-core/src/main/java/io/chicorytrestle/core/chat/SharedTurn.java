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

/** Runs one chat turn for all callers that ask for it at the same time. */
final class SharedTurn {

    /** The parts that the turn works with. */
    private final ChatEnvironment environment;

    /** The settings. */
    private final ChatSettings settings;

    /** The request. */
    private final ChatRequest request;

    /** The request's identifier at its engines, without the attempt. */
    private final String engineRequestId;

    /** The fingerprint of the request's content. */
    private final Fingerprint fingerprint;

    /** Guards all that follows; listeners are called under it. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Those who follow the answer. */
    private final List<Subscriber> subscribers = new ArrayList<>();

    /** The answer so far. */
    private final PartialResponse response = new PartialResponse();

    /** The engines that failed the request. */
    private final Set<String> excludedEngines = new HashSet<>();

    /** The verdict over the attempts that failed. */
    private Verdict verdict = Verdict.NOT_RUN;

    /** The attempts that were begun. */
    private int attempts;

    /** The wait for an engine, or {@code null} if none is awaited. */
    private @Nullable CompletableFuture<?> pendingFuture;

    /** The attempt that runs, or {@code null} if none does. */
    private @Nullable EngineAttempt currentAttempt;

    /** Called when the turn ends, without the lock. */
    private volatile Runnable endCallback = () -> {};

    /**
     * Creates a new turn.
     *
     * @param environment The parts that the turn works with.
     * @param settings The settings.
     * @param request The request.
     * @param name The request's identifier at its engines.
     * @param fingerprint The fingerprint of the request's content.
     * @param first The first who follows the answer.
     */
    SharedTurn(
            ChatEnvironment environment,
            ChatSettings settings,
            ChatRequest request,
            String name,
            Fingerprint fingerprint,
            Subscriber first) {
        this.environment = environment;
        this.settings = settings;
        this.request = request;
        this.engineRequestId = name;
        this.fingerprint = fingerprint;
        subscribers.add(first);
    }

    /**
     * Names what is called when the turn ends.
     *
     * @param action Called without the turn's lock.
     */
    void endCallback(Runnable action) {
        endCallback = action;
    }

    /**
     * Adds one who follows the answer.
     *
     * @param subscriber The one who follows.
     * @return {@code false} if the turn ended already.
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

    /** Hands on to each follower what it has not received yet. */
    void deliver() {
        runLocked(
                () -> List.copyOf(subscribers).forEach(subscriber -> subscriber.deliver(response)));
    }

    /**
     * Begins the turn.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void start(long nowMillis) {
        environment.retryPolicy().onFirstAttempt();
        runLocked(() -> requestAdmission(nowMillis));
    }

    /**
     * Drives the turn's timeouts.
     *
     * @param nowMillis The present time in milliseconds.
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
     * Removes one who follows the answer; the last one ends the turn.
     *
     * @param subscriber The one who follows.
     * @param nowMillis The present time in milliseconds.
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
     * Runs an action under the lock, and tells of the turn's end once the lock is free.
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
     * Takes the next checked piece of the answer.
     *
     * @param text The piece.
     */
    void onText(String text) {
        response.append(text);
        deliver();
    }

    /**
     * Learns that the answer is whole.
     *
     * @param usage What the answer cost.
     * @param placement The placement token.
     */
    void onComplete(Usage usage, Optional<String> placement) {
        currentAttempt = null;
        response.complete(usage, placement);
        deliver();
    }

    /**
     * Learns that an attempt failed, and makes another one if that keeps every promise.
     *
     * @param endpoint The name of the engine.
     * @param failure The failure.
     * @param nowMillis The present time in milliseconds.
     */
    void onAttemptFailed(String endpoint, RequestFailureException failure, long nowMillis) {
        currentAttempt = null;
        excludedEngines.add(endpoint);
        verdict = verdict.combinedWith(failure.verdict());
        RetryPolicy.Progress progress =
                new RetryPolicy.Progress(attempts, true, request.deadlineMillis());
        boolean untouched = response.chunks().isEmpty();
        if (untouched && environment.retryPolicy().permits(failure, progress, nowMillis)) {
            requestAdmission(nowMillis);
        } else {
            fail(failure);
        }
    }

    /**
     * Fails the turn.
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
     * Asks for an engine and makes an attempt on it.
     *
     * @param nowMillis The present time in milliseconds.
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
     * Asks to run the request on the engine that was chosen.
     *
     * @param admission The permission to use the engine.
     */
    private void requestExecution(Admission admission) {
        long nowMillis = environment.clock().getAsLong();
        if (response.isEnded()) {
            releaseUnused(admission, nowMillis);
            return;
        }
        CompletableFuture<PoisonGuard.Execution> entered =
                environment
                        .poisonGuard()
                        .requestExecution(
                                fingerprint,
                                admission.endpoint(),
                                request.deadlineMillis(),
                                nowMillis);
        pendingFuture = entered;
        entered.whenComplete(
                (run, thrown) ->
                        runLocked(
                                () -> {
                                    pendingFuture = null;
                                    onExecutionResult(admission, run, thrown);
                                }));
    }

    /**
     * Begins the attempt, unless the turn is over.
     *
     * @param admission The permission to use the engine.
     * @param run The run, or {@code null} if it was refused.
     * @param thrown The refusal, or {@code null} if there is none.
     */
    private void onExecutionResult(
            Admission admission, PoisonGuard.@Nullable Execution run, Throwable thrown) {
        long nowMillis = environment.clock().getAsLong();
        if (run == null) {
            releaseUnused(admission, nowMillis);
            fail(Failures.of(thrown));
            return;
        }
        if (response.isEnded()) {
            run.end(PoisonGuard.ExecutionOutcome.ABANDONED, nowMillis);
            releaseUnused(admission, nowMillis);
            return;
        }
        String attemptName = attempts == 1 ? engineRequestId : engineRequestId + "." + attempts;
        GenerateRequest generate =
                new GenerateRequest(
                        attemptName,
                        request.chat(),
                        model(),
                        request.prompt(),
                        request.maximumTokens(),
                        admission.priority());
        EngineAttempt attempt =
                new EngineAttempt(this, environment, settings, generate, admission, run);
        currentAttempt = attempt;
        boolean mayBeHeld = attempts == 1 && request.idempotencyKey().isPresent();
        attempt.start(request.deadlineMillis(), mayBeHeld, nowMillis);
    }

    /**
     * Gives a permission back that was not used.
     *
     * @param admission The permission.
     * @param nowMillis The present time in milliseconds.
     */
    private void releaseUnused(Admission admission, long nowMillis) {
        environment
                .dispatcher()
                .complete(
                        admission, new WorkOutcome(WorkOutcome.Result.CANCELLED, null), nowMillis);
    }

    /**
     * Returns the work to ask an engine for.
     *
     * @return The work.
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
     * @return The model, or the pool's name if the table has no row of it.
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
