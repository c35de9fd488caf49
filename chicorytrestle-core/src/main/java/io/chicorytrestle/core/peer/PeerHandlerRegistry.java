package io.chicorytrestle.core.peer;

/** Registers the handlers of messages from other entry instances. */
public interface PeerHandlerRegistry {

    /**
     * Registers the handler of a type of message. It must be called before the network is started.
     *
     * @param type The type of the messages.
     * @param handler The handler.
     * @param <M> The type of the messages.
     */
    <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler);
}
