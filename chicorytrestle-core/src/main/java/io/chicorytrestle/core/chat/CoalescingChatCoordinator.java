package io.chicorytrestle.core.chat;

import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.poison.Fingerprint;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;

/** Answers chat turns and joins those that repeat one in flight. */
public final class CoalescingChatCoordinator implements ChatCoordinator, Controller {

    /** The hexadecimal digits of a fingerprint that name a request at its engine. */
    private static final int REQUEST_ID_DIGITS = 32;

    /** The parts that the coordinator works with. */
    private final ChatEnvironment environment;

    /** The settings. */
    private final ChatSettings settings;

    /** The turns in flight, by their identifiers at the engines. */
    private final ShardedMap<String, SharedTurn> turns = ShardedMap.make();

    /** Whether new turns are refused. */
    private volatile boolean closed;

    /**
     * Creates a new coordinator.
     *
     * @param environment The parts that the coordinator works with.
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
        String name = engineRequestId(request);
        boolean[] fresh = new boolean[1];
        Subscriber subscriber = new Subscriber(listener);
        SharedTurn turn =
                turns.compute(
                        name,
                        present -> {
                            if (present != null && present.join(subscriber)) {
                                return present;
                            }
                            fresh[0] = true;
                            return new SharedTurn(
                                    environment,
                                    settings,
                                    request,
                                    name,
                                    fingerprint(request),
                                    subscriber);
                        });
        if (turn == null) {
            throw new IllegalStateException("Cannot keep turn: " + name);
        }
        if (fresh[0]) {
            turn.endCallback(
                    () -> turns.compute(name, present -> present == turn ? null : present));
            turn.start(nowMillis);
        } else {
            turn.deliver();
        }
        return cancelMillis -> turn.removeSubscriber(subscriber, cancelMillis);
    }

    @Override
    public void step(long nowMillis) {
        List<SharedTurn> present = new ArrayList<>();
        turns.forEach((name, turn) -> present.add(turn));
        present.forEach(turn -> turn.step(nowMillis));
    }

    /** Refuses new turns; those in flight go on. */
    public void close() {
        closed = true;
    }

    /**
     * Returns the number of turns in flight.
     *
     * @return The number of turns in flight.
     */
    public int inFlight() {
        return turns.size();
    }

    /**
     * Returns the fingerprint of a request's content.
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
     * Returns the identifier of a request at its engine. Requests with the same key and content
     * have the same one, at whichever entry instance they arrive.
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
