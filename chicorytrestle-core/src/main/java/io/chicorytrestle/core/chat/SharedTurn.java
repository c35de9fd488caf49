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
    private final String name;

    /** The fingerprint of the request's content. */
    private final Fingerprint fingerprint;

    /** Guards all that follows; listeners are called under it. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Those who follow the answer. */
    private final List<Subscriber> subscribers = new ArrayList<>();

    /** The answer so far. */
    private final AnswerSoFar answer = new AnswerSoFar();

    /** The engines that failed the request. */
    private final Set<String> excluded = new HashSet<>();

    /** The verdict over the attempts that failed. */
    private Verdict verdict = Verdict.NOT_RUN;

    /** The attempts that were begun. */
    private int attempts;

    /** The wait for an engine, or {@code null} if none is awaited. */
    private @Nullable CompletableFuture<?> waiting;

    /** The attempt that runs, or {@code null} if none does. */
    private @Nullable EngineAttempt current;

    /** Called when the turn ends, without the lock. */
    private volatile Runnable onEnded = () -> {};

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
        this.name = name;
        this.fingerprint = fingerprint;
        subscribers.add(first);
    }

    /**
     * Names what is called when the turn ends.
     *
     * @param action Called without the turn's lock.
     */
    void onEnded(Runnable action) {
        onEnded = action;
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
            if (answer.isEnded()) {
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
        locked(() -> List.copyOf(subscribers).forEach(subscriber -> subscriber.follow(answer)));
    }

    /**
     * Begins the turn.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void start(long nowMillis) {
        environment.retries().onFirstAttempt();
        locked(() -> attempt(nowMillis));
    }

    /**
     * Drives the turn's timeouts.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void step(long nowMillis) {
        locked(
                () -> {
                    if (current != null) {
                        current.step(nowMillis);
                    }
                });
    }

    /**
     * Removes one who follows the answer; the last one ends the turn.
     *
     * @param subscriber The one who follows.
     * @param nowMillis The present time in milliseconds.
     */
    void leave(Subscriber subscriber, long nowMillis) {
        locked(
                () -> {
                    subscriber.leave();
                    subscribers.remove(subscriber);
                    if (!subscribers.isEmpty() || answer.isEnded()) {
                        return;
                    }
                    answer.failed(
                            RequestFailureException.mayHaveRun(
                                    FailureCode.UNAVAILABLE, "Cannot go on: no caller waits"));
                    if (waiting != null) {
                        waiting.cancel(false);
                    }
                    if (current != null) {
                        current.cancel(nowMillis);
                    }
                });
    }

    /**
     * Runs an action under the lock, and tells of the turn's end once the lock is free.
     *
     * @param action The action.
     */
    void locked(Runnable action) {
        boolean ended;
        lock.lock();
        try {
            action.run();
        } finally {
            ended = answer.isEnded();
            lock.unlock();
        }
        if (ended && !lock.isHeldByCurrentThread()) {
            onEnded.run();
        }
    }

    /**
     * Takes the next checked piece of the answer.
     *
     * @param text The piece.
     */
    void onText(String text) {
        answer.add(text);
        deliver();
    }

    /**
     * Learns that the answer is whole.
     *
     * @param usage What the answer cost.
     * @param placement The placement token.
     */
    void onWhole(Usage usage, Optional<String> placement) {
        current = null;
        answer.whole(usage, placement);
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
        current = null;
        excluded.add(endpoint);
        verdict = verdict.combinedWith(failure.verdict());
        RetryPolicy.Progress progress =
                new RetryPolicy.Progress(attempts, true, request.deadlineMillis());
        boolean untouched = answer.pieces().isEmpty();
        if (untouched && environment.retries().permits(failure, progress, nowMillis)) {
            attempt(nowMillis);
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
        current = null;
        if (answer.isEnded()) {
            return;
        }
        FailureCode code = answer.pieces().isEmpty() ? failure.code() : FailureCode.ANSWER_CUT;
        answer.failed(
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
    private void attempt(long nowMillis) {
        attempts++;
        try {
            environment.poison().check(fingerprint, nowMillis);
        } catch (RequestFailureException failure) {
            fail(failure);
            return;
        }
        CompletableFuture<Admission> admitted = environment.dispatcher().admit(work(), nowMillis);
        waiting = admitted;
        admitted.whenComplete(
                (admission, thrown) ->
                        locked(
                                () -> {
                                    waiting = null;
                                    if (admission == null) {
                                        fail(Failures.of(thrown));
                                    } else {
                                        enter(admission);
                                    }
                                }));
    }

    /**
     * Asks to run the request on the engine that was chosen.
     *
     * @param admission The permission to use the engine.
     */
    private void enter(Admission admission) {
        long nowMillis = environment.clock().getAsLong();
        if (answer.isEnded()) {
            giveBack(admission, nowMillis);
            return;
        }
        CompletableFuture<PoisonGuard.Execution> entered =
                environment
                        .poison()
                        .requestExecution(
                                fingerprint,
                                admission.endpoint(),
                                request.deadlineMillis(),
                                nowMillis);
        waiting = entered;
        entered.whenComplete(
                (run, thrown) ->
                        locked(
                                () -> {
                                    waiting = null;
                                    entered(admission, run, thrown);
                                }));
    }

    /**
     * Begins the attempt, unless the turn is over.
     *
     * @param admission The permission to use the engine.
     * @param run The run, or {@code null} if it was refused.
     * @param thrown The refusal, or {@code null} if there is none.
     */
    private void entered(
            Admission admission, PoisonGuard.@Nullable Execution run, Throwable thrown) {
        long nowMillis = environment.clock().getAsLong();
        if (run == null) {
            giveBack(admission, nowMillis);
            fail(Failures.of(thrown));
            return;
        }
        if (answer.isEnded()) {
            run.end(PoisonGuard.ExecutionOutcome.ABANDONED, nowMillis);
            giveBack(admission, nowMillis);
            return;
        }
        String attemptName = attempts == 1 ? name : name + "." + attempts;
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
        current = attempt;
        boolean mayBeHeld = attempts == 1 && request.idempotencyKey().isPresent();
        attempt.begin(request.deadlineMillis(), mayBeHeld, nowMillis);
    }

    /**
     * Gives a permission back that was not used.
     *
     * @param admission The permission.
     * @param nowMillis The present time in milliseconds.
     */
    private void giveBack(Admission admission, long nowMillis) {
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
    private WorkRequest work() {
        return new WorkRequest(
                request.requestId(),
                request.chat(),
                request.pool(),
                request.promptTokens(),
                request.maximumTokens(),
                request.deadlineMillis(),
                request.placement(),
                excluded);
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
