package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.stream.StreamOrigin;
import java.util.Optional;
import java.util.function.Consumer;

/** The origins of streams that other instances know. */
public interface PeerStreams {

    /**
     * Tells other instances the origin of a stream that has begun here.
     *
     * @param id The identifier of the request that began it.
     * @param origin The origin.
     */
    void announce(String id, StreamOrigin origin);

    /**
     * Asks other instances for the origin of a stream.
     *
     * @param id The identifier of the request that began it.
     * @param timeoutMillis The longest time in milliseconds to wait.
     * @param receiver Receives the origin, or empty if no instance knew it in time; called once, at
     *     the latest after the time-out.
     */
    void ask(String id, long timeoutMillis, Consumer<Optional<StreamOrigin>> receiver);

    /** Knows of no other instance. */
    enum NoOp implements PeerStreams {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void announce(String id, StreamOrigin origin) {}

        @Override
        public void ask(String id, long timeoutMillis, Consumer<Optional<StreamOrigin>> receiver) {
            receiver.accept(Optional.empty());
        }
    }
}
