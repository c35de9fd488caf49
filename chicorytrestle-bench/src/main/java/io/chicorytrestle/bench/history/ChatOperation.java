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
    private static final long PATIENCE_MILLIS = 45_000;

    /** The time between tries in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** The tries of an ordinary caller. */
    static final int ORDINARY_TRIES = 3;

    /** The bound of the pieces of an answer. */
    private static final int PIECES = 40;

    /** One in so many tries is given up. */
    private static final int CANCEL_RATE = 10;

    /** When a try that is given up is given up at the latest, in milliseconds. */
    private static final int CANCEL_MILLIS = 800;

    /** The world. */
    private final HistoryWorld world;

    /** The prompt, which no other operation has. */
    private final String prompt;

    /** The pieces of the whole answer. */
    private final int pieces;

    /** Whether the caller uses a key. */
    private final boolean keyed;

    /** The most tries. */
    private final int maximumTries;

    /** The tries. */
    private int tries;

    /** The tries that wait for an answer. */
    private int waiting;

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
    ChatOperation(HistoryWorld world, String prompt, boolean keyed, int maximumTries) {
        this.world = world;
        this.prompt = prompt;
        this.keyed = keyed;
        this.maximumTries = maximumTries;
        pieces = 1 + world.random().nextInt(PIECES);
    }

    @Override
    public void begin() {
        String instance = world.anyInstanceName();
        attempt(instance);
        if (keyed) {
            attempt(instance);
        }
    }

    /**
     * Sends the request.
     *
     * @param instance The name of the entry instance.
     */
    private void attempt(String instance) {
        tries++;
        waiting++;
        String requestId = prompt + "-" + tries;
        world.invoke(
                new Invocation<>(
                        instance,
                        node -> start(node, requestId),
                        PATIENCE_MILLIS,
                        (value, failure, answered) -> onEnd(requestId, value, failure, answered)));
    }

    /**
     * Starts the turn at an entry instance.
     *
     * @param node The entry instance.
     * @param requestId The identifier of the request.
     * @return The whole answer.
     */
    private CompletableFuture<String> start(HistoryNode node, String requestId) {
        Collector collector = new Collector();
        ChatCoordinator.Turn turn =
                node.chats()
                        .start(
                                new ChatRequest(
                                        requestId,
                                        new ChatKey(HistoryWorld.WORKSPACE, prompt),
                                        EndpointFarm.ENGINE_POOL,
                                        prompt,
                                        1,
                                        pieces,
                                        world.scheduler().nowMillis() + DEADLINE_MILLIS,
                                        Optional.empty(),
                                        keyed ? Optional.of("key") : Optional.empty()),
                                collector,
                                world.scheduler().nowMillis());
        if (world.random().nextInt(CANCEL_RATE) == 0) {
            world.scheduler()
                    .after(
                            world.random().nextInt(CANCEL_MILLIS),
                            () -> node.run(() -> collector.cancel(turn)));
        }
        return collector.answer;
    }

    /**
     * Takes the end of a try.
     *
     * @param requestId The identifier of the request.
     * @param value The whole answer, or {@code null} if there is none.
     * @param failure The failure, or {@code null} if there is none.
     * @param answered {@code true} if an entry instance said so.
     */
    private void onEnd(
            String requestId,
            @Nullable String value,
            @Nullable RequestFailureException failure,
            boolean answered) {
        waiting--;
        if (failure != null && failure.code() == FailureCode.QUARANTINED) {
            world.farm().onQuarantined(prompt);
        }
        if (value != null) {
            if (!value.equals(EngineRun.answer(prompt, pieces))) {
                world.violate(Violation.Promise.OWN_WHOLE_ANSWER, prompt + ": " + value);
            }
            done = true;
        } else if (failure != null
                && answered
                && failure.verdict() == Verdict.NOT_RUN
                && world.farm().isGenerated(requestId)) {
            world.violate(Violation.Promise.TRUE_VERDICT, prompt + ": " + failure.message());
        }
        if (!done && waiting == 0) {
            if (tries < maximumTries) {
                world.scheduler().after(RETRY_MILLIS, () -> attempt(world.anyInstanceName()));
            } else {
                done = true;
            }
        }
    }

    @Override
    public boolean isDone() {
        return done && waiting == 0;
    }

    @Override
    public void check() {
        if (!done) {
            world.violate(Violation.Promise.ANSWERED, prompt);
        }
    }

    @Override
    public boolean isUnrepeatable() {
        return false;
    }

    @Override
    public boolean isInDoubt() {
        return false;
    }

    /** Collects and checks an answer as it arrives. */
    private final class Collector implements ResponseListener {

        /** The whole answer. */
        private final CompletableFuture<String> answer = new CompletableFuture<>();

        /** The answer so far. */
        private final StringBuilder text = new StringBuilder();

        /**
         * Gives the turn up.
         *
         * @param turn The turn.
         */
        private void cancel(ChatCoordinator.Turn turn) {
            turn.cancel(world.scheduler().nowMillis());
            answer.complete(EngineRun.answer(prompt, pieces));
        }

        @Override
        public void onText(String piece) {
            text.append(piece);
            if (!EngineRun.answer(prompt, pieces).startsWith(text.toString())) {
                world.violate(Violation.Promise.OWN_WHOLE_ANSWER, prompt + ": " + text);
            }
        }

        @Override
        public void onComplete(Usage usage, Optional<String> placement) {
            if (!answer.isDone()) {
                answer.complete(text.toString());
            }
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            answer.completeExceptionally(failure);
        }
    }
}
