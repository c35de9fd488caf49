package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.Failures;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Carries one request of a caller to an entry instance and its outcome back, in virtual time.
 *
 * @param <T> The type of the response.
 */
final class Invocation<T> {

    /** The name of the entry instance. */
    private final String instanceName;

    /** The work of the entry instance; its future completes with the response. */
    private final Function<SimulatedInstance, CompletableFuture<T>> action;

    /** How long the caller waits for the response, in milliseconds. */
    private final long timeoutMillis;

    /** The handler that receives the outcome, exactly once. */
    private final CompletionHandler<T> end;

    /** The simulation, or {@code null} before the request was sent. */
    private @Nullable HistorySimulation simulation;

    /**
     * The entry instance that works on the request, or {@code null} before it received the request
     * and after it responded.
     */
    private @Nullable SimulatedInstance reachedInstance;

    /** Whether the handler received the outcome. */
    private boolean ended;

    /**
     * Creates a request that is not yet sent.
     *
     * @param instanceName The name of the entry instance.
     * @param action The work of the entry instance; its future completes with the response.
     * @param timeoutMillis How long the caller waits for the response, in milliseconds.
     * @param end The handler that receives the outcome, exactly once.
     */
    Invocation(
            String instanceName,
            Function<SimulatedInstance, CompletableFuture<T>> action,
            long timeoutMillis,
            CompletionHandler<T> end) {
        this.instanceName = instanceName;
        this.action = action;
        this.timeoutMillis = timeoutMillis;
        this.end = end;
    }

    /**
     * Sends the request and starts its time-out.
     *
     * @param targetSimulation The simulation in which the request runs.
     */
    void send(HistorySimulation targetSimulation) {
        simulation = targetSimulation;
        targetSimulation
                .scheduler()
                .scheduleAfter(
                        timeoutMillis,
                        () ->
                                end(
                                        null,
                                        RequestFailureException.mayHaveRun(
                                                FailureCode.DEADLINE, "Cannot wait longer"),
                                        false));
        targetSimulation.scheduler().scheduleAfter(1, () -> receive(targetSimulation));
    }

    /**
     * Receives the request at the entry instance. The connection is refused if the instance is down
     * or shutting down.
     *
     * @param targetSimulation The simulation in which the request runs.
     */
    private void receive(HistorySimulation targetSimulation) {
        SimulatedInstance receiver = targetSimulation.instance(instanceName);
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
                                                deliverResponse(targetSimulation, value, thrown);
                                            }
                                        }));
    }

    /**
     * Delivers the response to the caller.
     *
     * @param targetSimulation The simulation in which the request runs.
     * @param value The response, or {@code null} if the request failed.
     * @param thrown The failure, or {@code null} if the request succeeded.
     */
    private void deliverResponse(
            HistorySimulation targetSimulation, @Nullable T value, @Nullable Throwable thrown) {
        reachedInstance = null;
        targetSimulation
                .scheduler()
                .scheduleAfter(
                        1, () -> end(value, thrown == null ? null : Failures.of(thrown), true));
    }

    /**
     * Breaks the connection if the instance that died is working on the request.
     *
     * @param dead The instance that died.
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
     * Returns whether an instance is working on the request while the caller still waits.
     *
     * @param candidate The instance.
     * @return {@code true} if the request is in flight at the instance.
     */
    boolean isInFlightAt(SimulatedInstance candidate) {
        return reachedInstance == candidate && !ended;
    }

    /**
     * Ends the request for the caller, unless it has already ended.
     *
     * @param value The response, or {@code null} if the request failed.
     * @param failure The failure, or {@code null} if the request succeeded.
     * @param answered {@code true} if the entry instance reported this outcome; {@code false} if
     *     the caller inferred it from its connection or its time-out.
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
     * Receives the outcome of a request.
     *
     * @param <T> The type of the response.
     */
    @FunctionalInterface
    interface CompletionHandler<T> {

        /**
         * Receives the outcome of a request, exactly once.
         *
         * @param value The response, or {@code null} if the request failed.
         * @param failure The failure, or {@code null} if the request succeeded.
         * @param answered {@code true} if the entry instance reported this outcome; {@code false}
         *     if the caller inferred it from its connection or its time-out.
         */
        void onEnd(@Nullable T value, @Nullable RequestFailureException failure, boolean answered);
    }
}
