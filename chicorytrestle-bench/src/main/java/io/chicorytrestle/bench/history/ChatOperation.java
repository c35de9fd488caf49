package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.chat.ChatCoordinator;
import io.chicorytrestle.core.chat.ChatRequest;
import io.chicorytrestle.core.chat.ResponseListener;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Simulates a caller that wants the complete response of one chat turn. */
final class ChatOperation implements Operation {

    /**
     * The deadline for the start of a response, relative to the time of the request, in
     * milliseconds.
     */
    private static final long DEADLINE_MILLIS = 6_000;

    /** How long a caller waits for a complete response, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 45_000;

    /** The delay before a failed attempt is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 500;

    /** The maximum number of attempts of a caller whose prompt is harmless. */
    static final int DEFAULT_ATTEMPTS = 3;

    /** The maximum number of text pieces in a response. */
    private static final int MAXIMUM_PIECES = 40;

    /** One in this many attempts, on average, is cancelled. */
    private static final int CANCEL_ONE_IN = 10;

    /**
     * The exclusive upper bound of the time after which an attempt is cancelled, in milliseconds.
     */
    private static final int MAXIMUM_CANCEL_DELAY_MILLIS = 800;

    /** The simulation in which the caller runs. */
    private final HistorySimulation simulation;

    /** The prompt. It is unique to this operation, so that its response can be recognised. */
    private final String prompt;

    /** The number of text pieces in the complete response. */
    private final int pieceCount;

    /**
     * Whether the caller sends an idempotency key, and with it two concurrent requests for the
     * turn.
     */
    private final boolean usesIdempotencyKey;

    /** The maximum number of attempts. */
    private final int maximumAttempts;

    /** The number of attempts sent so far. */
    private int attempts;

    /** The number of attempts in flight. */
    private int pendingAttempts;

    /** Whether the caller received its response or used up its attempts. */
    private boolean done;

    /**
     * Creates a caller, which starts when {@link #begin()} is called.
     *
     * @param simulation The simulation in which the caller runs.
     * @param prompt The prompt, which must be unique within the simulation.
     * @param usesIdempotencyKey Whether the caller sends an idempotency key.
     * @param maximumAttempts The maximum number of attempts.
     */
    ChatOperation(
            HistorySimulation simulation,
            String prompt,
            boolean usesIdempotencyKey,
            int maximumAttempts) {
        this.simulation = simulation;
        this.prompt = prompt;
        this.usesIdempotencyKey = usesIdempotencyKey;
        this.maximumAttempts = maximumAttempts;
        pieceCount = 1 + simulation.random().nextInt(MAXIMUM_PIECES);
    }

    @Override
    public void begin() {
        String instanceName = simulation.randomInstanceName();
        attempt(instanceName);
        if (usesIdempotencyKey) {
            attempt(instanceName);
        }
    }

    /**
     * Sends a request for the turn to an entry instance under a new request identifier.
     *
     * @param instanceName The name of the entry instance.
     */
    private void attempt(String instanceName) {
        attempts++;
        pendingAttempts++;
        String requestId = prompt + "-" + attempts;
        simulation.invoke(
                new Invocation<>(
                        instanceName,
                        instance -> startTurn(instance, requestId),
                        TIMEOUT_MILLIS,
                        (value, failure, answered) ->
                                onAttemptEnded(requestId, value, failure, answered)));
    }

    /**
     * Starts the turn at an entry instance and, for some attempts, schedules its cancellation.
     *
     * @param instance The entry instance.
     * @param requestId The identifier of the request.
     * @return The complete response text.
     */
    private CompletableFuture<String> startTurn(SimulatedInstance instance, String requestId) {
        ResponseCollector collector = new ResponseCollector();
        ChatCoordinator.Turn turn =
                instance.chats()
                        .start(
                                new ChatRequest(
                                        requestId,
                                        new ChatKey(HistorySimulation.WORKSPACE, prompt),
                                        SimulatedEndpoints.ENGINE_POOL,
                                        prompt,
                                        1,
                                        pieceCount,
                                        simulation.scheduler().nowMillis() + DEADLINE_MILLIS,
                                        Optional.empty(),
                                        usesIdempotencyKey ? Optional.of("key") : Optional.empty()),
                                collector,
                                simulation.scheduler().nowMillis());
        if (simulation.random().nextInt(CANCEL_ONE_IN) == 0) {
            simulation
                    .scheduler()
                    .scheduleAfter(
                            simulation.random().nextInt(MAXIMUM_CANCEL_DELAY_MILLIS),
                            () -> instance.run(() -> collector.cancel(turn)));
        }
        return collector.response;
    }

    /**
     * Checks the outcome of an attempt, and tries again if the last attempt in flight failed.
     *
     * @param requestId The identifier of the request.
     * @param value The complete response text, or {@code null} if the attempt failed.
     * @param failure The failure, or {@code null} if the attempt succeeded.
     * @param answered {@code true} if an entry instance reported this outcome; {@code false} if the
     *     caller inferred it from its connection or its time-out.
     */
    private void onAttemptEnded(
            String requestId,
            @Nullable String value,
            @Nullable RequestFailureException failure,
            boolean answered) {
        pendingAttempts--;
        if (failure != null && failure.code() == FailureCode.QUARANTINED) {
            simulation.endpoints().recordQuarantineRefusal(prompt);
        }
        if (value != null) {
            if (!value.equals(EngineRun.completeText(prompt, pieceCount))) {
                simulation.recordViolation(
                        Violation.Guarantee.OWN_WHOLE_ANSWER, prompt + ": " + value);
            }
            done = true;
        } else if (failure != null
                && answered
                && failure.verdict() == Verdict.NOT_RUN
                && simulation.endpoints().hasStartedRequest(requestId)) {
            simulation.recordViolation(
                    Violation.Guarantee.TRUE_VERDICT, prompt + ": " + failure.message());
        }
        if (!done && pendingAttempts == 0) {
            if (attempts < maximumAttempts) {
                simulation
                        .scheduler()
                        .scheduleAfter(
                                RETRY_DELAY_MILLIS, () -> attempt(simulation.randomInstanceName()));
            } else {
                done = true;
            }
        }
    }

    @Override
    public boolean isDone() {
        return done && pendingAttempts == 0;
    }

    @Override
    public void check() {
        if (!done) {
            simulation.recordViolation(Violation.Guarantee.ANSWERED, prompt);
        }
    }

    @Override
    public boolean isNonIdempotent() {
        return false;
    }

    @Override
    public boolean isInDoubt() {
        return false;
    }

    /** Collects a response and checks each piece of text as it arrives. */
    private final class ResponseCollector implements ResponseListener {

        /**
         * Completes with the response text when the stream ends, or exceptionally when it fails.
         */
        private final CompletableFuture<String> response = new CompletableFuture<>();

        /** The text received so far. */
        private final StringBuilder text = new StringBuilder();

        /**
         * Cancels the turn. The attempt then counts as answered with the expected text, so that the
         * caller neither repeats it nor reports a violation.
         *
         * @param turn The turn, as the coordinator returned it.
         */
        private void cancel(ChatCoordinator.Turn turn) {
            turn.cancel(simulation.scheduler().nowMillis());
            response.complete(EngineRun.completeText(prompt, pieceCount));
        }

        @Override
        public void onText(String piece) {
            text.append(piece);
            if (!EngineRun.completeText(prompt, pieceCount).startsWith(text.toString())) {
                simulation.recordViolation(
                        Violation.Guarantee.OWN_WHOLE_ANSWER, prompt + ": " + text);
            }
        }

        @Override
        public void onComplete(Usage usage, Optional<String> placement) {
            if (!response.isDone()) {
                response.complete(text.toString());
            }
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            response.completeExceptionally(failure);
        }
    }
}
