package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.Failures;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller to one entry instance.
 *
 * @param <T> The type of the answer.
 */
final class Invocation<T> {

    /** The name of the entry instance. */
    private final String instance;

    /** What the entry instance does. */
    private final Function<SimulatedInstance, CompletableFuture<T>> action;

    /** How long the caller waits, in milliseconds. */
    private final long timeoutMillis;

    /** Receives the answer. */
    private final CompletionHandler<T> end;

    /** The world, once the request was sent. */
    private @Nullable HistorySimulation simulation;

    /** The entry instance that received the request, or {@code null}. */
    private @Nullable SimulatedInstance reachedInstance;

    /** Whether the caller waits no more. */
    private boolean ended;

    /**
     * Creates a new request.
     *
     * @param instance The name of the entry instance.
     * @param action What the entry instance does.
     * @param timeoutMillis How long the caller waits, in milliseconds.
     * @param end Receives the answer.
     */
    Invocation(
            String instance,
            Function<SimulatedInstance, CompletableFuture<T>> action,
            long timeoutMillis,
            CompletionHandler<T> end) {
        this.instance = instance;
        this.action = action;
        this.timeoutMillis = timeoutMillis;
        this.end = end;
    }

    /**
     * Sends the request.
     *
     * @param target The world.
     */
    void send(HistorySimulation target) {
        simulation = target;
        target.scheduler()
                .scheduleAfter(
                        timeoutMillis,
                        () ->
                                end(
                                        null,
                                        RequestFailureException.mayHaveRun(
                                                FailureCode.DEADLINE, "Cannot wait longer"),
                                        false));
        target.scheduler().scheduleAfter(1, () -> receive(target));
    }

    /**
     * Receives the request at the entry instance.
     *
     * @param target The world.
     */
    private void receive(HistorySimulation target) {
        SimulatedInstance receiver = target.instance(instance);
        if (ended) {
            return;
        }
        if (receiver == null || receiver.isDraining()) {
            end(
                    null,
                    RequestFailureException.notRun(
                            FailureCode.UNAVAILABLE, "Cannot connect to instance"),
                    false);
            return;
        }
        reachedInstance = receiver;
        receiver.addInvocations(1);
        receiver.run(
                () ->
                        action.apply(receiver)
                                .whenComplete(
                                        (value, thrown) -> {
                                            receiver.addInvocations(-1);
                                            if (!receiver.isDead()) {
                                                deliverResponse(target, value, thrown);
                                            }
                                        }));
    }

    /**
     * Carries the answer to the caller.
     *
     * @param target The world.
     * @param value The answer, or {@code null} if the request failed.
     * @param thrown The failure, or {@code null} if the request succeeded.
     */
    private void deliverResponse(
            HistorySimulation target, @Nullable T value, @Nullable Throwable thrown) {
        reachedInstance = null;
        target.scheduler()
                .scheduleAfter(1, () -> end(value, thrown == null ? null : Failures.of(thrown), true));
    }

    /**
     * Breaks the connection if it leads to an instance that died.
     *
     * @param dead The instance.
     */
    void breakConnection(SimulatedInstance dead) {
        if (reachedInstance == dead) {
            end(
                    null,
                    RequestFailureException.mayHaveRun(
                            FailureCode.UNAVAILABLE, "Cannot read answer: connection broke"),
                    false);
        }
    }

    /**
     * Returns {@code true} if the request is in flight at an instance.
     *
     * @param candidate The instance.
     * @return {@code true} if the request is in flight at an instance.
     */
    boolean isInFlightAt(SimulatedInstance candidate) {
        return reachedInstance == candidate && !ended;
    }

    /**
     * Ends the request for the caller.
     *
     * @param value The answer, or {@code null} if there is none.
     * @param failure The failure, or {@code null} if there is none.
     * @param answered {@code true} if an entry instance said so.
     */
    private void end(
            @Nullable T value, @Nullable RequestFailureException failure, boolean answered) {
        if (!ended) {
            ended = true;
            if (simulation != null) {
                simulation.removeInvocation(this);
            }
            end.onEnd(value, failure, answered);
        }
    }

    /**
     * Receives the end of a request.
     *
     * @param <T> The type of the answer.
     */
    @FunctionalInterface
    interface CompletionHandler<T> {

        /**
         * Receives the end of a request.
         *
         * @param value The answer, or {@code null} if there is none.
         * @param failure The failure, or {@code null} if there is none.
         * @param answered {@code true} if an entry instance said so.
         */
        void onEnd(@Nullable T value, @Nullable RequestFailureException failure, boolean answered);
    }
}
