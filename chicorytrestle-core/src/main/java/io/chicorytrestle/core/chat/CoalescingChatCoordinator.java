package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.poison.Fingerprint;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;

/**
 * Serves chat turns and coalesces those that repeat one in flight: they share one execution and
 * receive the same response.
 */
public final class CoalescingChatCoordinator implements ChatCoordinator, Controller {

    /**
     * The number of hexadecimal digits of a fingerprint that form a request identifier at an
     * engine.
     */
    private static final int REQUEST_ID_DIGITS = 32;

    /** The dependencies of the turns. */
    private final ChatEnvironment environment;

    /** The settings. */
    private final ChatSettings settings;

    /** The turns in flight by request identifier at the engines. */
    private final ShardedMap<String, SharedTurn> turns = ShardedMap.make();

    /** Whether new turns are refused because the instance shuts down. */
    private volatile boolean closed;

    /**
     * Creates a new coordinator.
     *
     * @param environment The dependencies of the turns.
     * @param settings The settings.
     */
    public CoalescingChatCoordinator(ChatEnvironment environment, ChatSettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    @Override
    public Turn start(ChatRequest request, ResponseListener listener, long nowMillis) {
        if (closed) {
            listener.onFailure(
                    RequestFailureException.notRun(
                            FailureCode.UNAVAILABLE,
                            "Cannot start turn: the instance is shutting down"));
            return ignored -> {};
        }
        String engineRequestId = engineRequestId(request);
        boolean[] created = new boolean[1];
        Subscriber subscriber = new Subscriber(listener);
        SharedTurn turn =
                turns.compute(
                        engineRequestId,
                        existing -> {
                            if (existing != null && existing.join(subscriber)) {
                                return existing;
                            }
                            created[0] = true;
                            return new SharedTurn(
                                    environment,
                                    settings,
                                    request,
                                    engineRequestId,
                                    fingerprint(request),
                                    subscriber);
                        });
        if (turn == null) {
            throw new IllegalStateException(
                    "Turn map returned no turn for engine request " + engineRequestId);
        }
        if (created[0]) {
            turn.setEndCallback(
                    () ->
                            turns.compute(
                                    engineRequestId,
                                    existing -> existing == turn ? null : existing));
            turn.start(nowMillis);
        } else {
            turn.deliver();
        }
        return cancelMillis -> turn.removeSubscriber(subscriber, cancelMillis);
    }

    @Override
    public void step(long nowMillis) {
        List<SharedTurn> snapshot = new ArrayList<>();
        turns.forEach((engineRequestId, turn) -> snapshot.add(turn));
        snapshot.forEach(turn -> turn.step(nowMillis));
    }

    /** Refuses new turns; those in flight continue. */
    public void close() {
        closed = true;
    }

    /**
     * Returns the number of turns in flight, in which coalesced requests count once.
     *
     * @return The number of turns in flight.
     */
    public int inFlight() {
        return turns.size();
    }

    /**
     * Returns the fingerprint of a request's workspace, pool and prompt, by which the poison guard
     * recognizes it.
     *
     * @param request The request.
     * @return The fingerprint.
     */
    private Fingerprint fingerprint(ChatRequest request) {
        return environment
                .fingerprinter()
                .of(request.chat().workspace(), request.pool(), request.prompt());
    }

    /**
     * Returns the identifier of a request at its engine. Requests with the same idempotency key and
     * content have the same identifier, at whichever entry instance they are received. A request
     * without a key keeps its own identifier.
     *
     * @param request The request.
     * @return The identifier.
     */
    private String engineRequestId(ChatRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return request.requestId();
        }
        return environment
                .fingerprinter()
                .of(
                        request.chat().workspace(),
                        request.chat().chat(),
                        request.pool(),
                        request.prompt(),
                        Integer.toString(request.maximumTokens()),
                        request.idempotencyKey().get())
                .hash()
                .substring(0, REQUEST_ID_DIGITS);
    }
}
