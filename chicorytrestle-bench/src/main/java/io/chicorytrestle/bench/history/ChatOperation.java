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

/** A caller that wants the answer of one chat turn. */
final class ChatOperation implements Operation {

    /** How long the begin of an answer may take, in milliseconds. */
    private static final long DEADLINE_MILLIS = 6_000;

    /** How long a caller waits for a whole answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 45_000;

    /** The time between tries in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 500;

    /** The tries of an ordinary caller. */
    static final int DEFAULT_ATTEMPTS = 3;

    /** The bound of the pieces of an answer. */
    private static final int MAXIMUM_PIECES = 40;

    /** One in so many tries is given up. */
    private static final int CANCEL_ONE_IN = 10;

    /** When a try that is given up is given up at the latest, in milliseconds. */
    private static final int MAXIMUM_CANCEL_DELAY_MILLIS = 800;

    /** The world. */
    private final HistorySimulation simulation;

    /** The prompt, which no other operation has. */
    private final String prompt;

    /** The pieces of the whole answer. */
    private final int pieceCount;

    /** Whether the caller uses a key. */
    private final boolean usesIdempotencyKey;

    /** The most tries. */
    private final int maximumAttempts;

    /** The tries. */
    private int attempts;

    /** The tries that wait for an answer. */
    private int pendingAttempts;

    /** Whether the caller tries no more. */
    private boolean done;

    /**
     * Creates a new operation.
     *
     * @param world The world.
     * @param prompt The prompt, which no other operation has.
     * @param keyed Whether the caller uses a key.
     * @param maximumTries The most tries.
     */
    ChatOperation(HistorySimulation world, String prompt, boolean keyed, int maximumTries) {
        this.simulation = world;
        this.prompt = prompt;
        this.usesIdempotencyKey = keyed;
        this.maximumAttempts = maximumTries;
        pieceCount = 1 + world.random().nextInt(MAXIMUM_PIECES);
    }

    @Override
    public void begin() {
        String instance = simulation.randomInstanceName();
        attempt(instance);
        if (usesIdempotencyKey) {
            attempt(instance);
        }
    }

    /**
     * Sends the request.
     *
     * @param instance The name of the entry instance.
     */
    private void attempt(String instance) {
        attempts++;
        pendingAttempts++;
        String requestId = prompt + "-" + attempts;
        simulation.invoke(
                new Invocation<>(
                        instance,
                        node -> startTurn(node, requestId),
                        TIMEOUT_MILLIS,
                        (value, failure, answered) ->
                                onAttemptEnded(requestId, value, failure, answered)));
    }

    /**
     * Starts the turn at an entry instance.
     *
     * @param node The entry instance.
     * @param requestId The identifier of the request.
     * @return The whole answer.
     */
    private CompletableFuture<String> startTurn(SimulatedInstance node, String requestId) {
        ResponseCollector collector = new ResponseCollector();
        ChatCoordinator.Turn turn =
                node.chats()
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
                            () -> node.run(() -> collector.cancel(turn)));
        }
        return collector.response;
    }

    /**
     * Takes the end of a try.
     *
     * @param requestId The identifier of the request.
     * @param value The whole answer, or {@code null} if there is none.
     * @param failure The failure, or {@code null} if there is none.
     * @param answered {@code true} if an entry instance said so.
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
                        .scheduleAfter(RETRY_DELAY_MILLIS, () -> attempt(simulation.randomInstanceName()));
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

    /** Collects and checks an answer as it arrives. */
    private final class ResponseCollector implements ResponseListener {

        /** The whole answer. */
        private final CompletableFuture<String> response = new CompletableFuture<>();

        /** The answer so far. */
        private final StringBuilder text = new StringBuilder();

        /**
         * Gives the turn up.
         *
         * @param turn The turn.
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
