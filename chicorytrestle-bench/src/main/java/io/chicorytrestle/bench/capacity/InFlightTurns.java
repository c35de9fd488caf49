package io.chicorytrestle.bench.capacity;

import io.chicorytrestle.core.chat.ChatEnvironment;
import io.chicorytrestle.core.chat.ChatRequest;
import io.chicorytrestle.core.chat.ChatSettings;
import io.chicorytrestle.core.chat.CoalescingChatCoordinator;
import io.chicorytrestle.core.chat.FrameValidator;
import io.chicorytrestle.core.chat.ResponseListener;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.poison.Fingerprinter;
import io.chicorytrestle.core.poison.PoisonGuard;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;

/** Creates chat turns that stay in flight with half of their responses received. */
final class InFlightTurns {

    /** The number of endpoints of the pool. */
    private static final int POOL_ENDPOINTS = 200;

    /** The length of each prompt in characters, without its number. */
    private static final int PROMPT_CHARACTERS = 8_000;

    /** The tokens of each prompt. */
    private static final int PROMPT_TOKENS = 2_000;

    /** The number of frames received of each response. */
    private static final int RECEIVED_FRAMES = 160;

    /** The maximum number of tokens of each response. */
    private static final int MAXIMUM_TOKENS = 320;

    /** The time by which a turn has to start, in milliseconds. */
    private static final long START_DEADLINE_MILLIS = PoolFixtures.LEADERSHIP_MILLIS + 10_000;

    /** The length of the fingerprint key in bytes. */
    private static final int KEY_BYTES = 32;

    /** Prevents instantiation. */
    private InFlightTurns() {}

    /**
     * Starts turns and leaves them in flight.
     *
     * @param size The number of turns.
     * @return The coordinator that holds them.
     * @throws IllegalStateException If the turns are not all in flight.
     */
    static CoalescingChatCoordinator create(int size) {
        PoolFixtures.PoolFixture fixture = PoolFixtures.createPool(POOL_ENDPOINTS);
        ChatEnvironment environment =
                new ChatEnvironment(
                        fixture.blackboard(),
                        fixture.dispatcher(),
                        PartialResponseClient.INSTANCE,
                        PoisonGuard.NoOp.INSTANCE,
                        new Fingerprinter(new byte[KEY_BYTES]),
                        RetryPolicy.make(),
                        FrameValidator.ForSequence::new,
                        () -> PoolFixtures.LEADERSHIP_MILLIS);
        CoalescingChatCoordinator chats =
                new CoalescingChatCoordinator(environment, ChatSettings.DEFAULT);
        for (int index = 0; index < size; index++) {
            chats.start(
                    request(index), DiscardingListener.INSTANCE, PoolFixtures.LEADERSHIP_MILLIS);
        }
        if (chats.inFlight() != size) {
            throw new IllegalStateException(
                    "Expected %d turns in flight, found %d".formatted(size, chats.inFlight()));
        }
        return chats;
    }

    /**
     * Creates the request of a turn.
     *
     * @param index The number of the turn.
     * @return A new request.
     */
    private static ChatRequest request(int index) {
        return new ChatRequest(
                "request-" + index,
                new ChatKey("workspace-0", "chat-" + index),
                PoolFixtures.POOL,
                "p".repeat(PROMPT_CHARACTERS) + index,
                PROMPT_TOKENS,
                MAXIMUM_TOKENS,
                START_DEADLINE_MILLIS,
                Optional.empty(),
                Optional.empty());
    }

    /** A client whose engines send the first half of each response and then nothing. */
    private enum PartialResponseClient implements EngineClient {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
            for (int sequence = 0; sequence < RECEIVED_FRAMES; sequence++) {
                listener.onFrame(
                        new ResponseFrame(request.requestId(), sequence, "word" + sequence, null));
            }
        }

        @Override
        public void resume(
                Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
            listener.onClosed();
        }

        @Override
        public void cancel(Endpoint engine, String requestId) {
            /* no engine is running */
        }
    }

    /** A listener that discards the response. */
    private enum DiscardingListener implements ResponseListener {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void onText(String text) {
            /* discard */
        }

        @Override
        public void onComplete(Usage usage, Optional<String> placement) {
            /* discard */
        }

        @Override
        public void onFailure(RequestFailureException failure) {
            throw new IllegalStateException("A turn failed instead of staying in flight", failure);
        }
    }
}
