package io.chicorytrestle.peer;

import com.google.common.flogger.FluentLogger;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.PeerHandler;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Dispatches received messages to the handlers registered for their type. Thread-safe. */
final class PeerMessageDispatcher implements PeerHandlerRegistry {

    /** Logs messages without a handler and failures of handlers. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The handlers by message type. */
    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();

    @Override
    @SuppressWarnings("unchecked")
    public <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        handlers.put(type, (PeerHandler<PeerMessage>) (PeerHandler<?>) handler);
    }

    /**
     * Decodes a message and passes it to its handler.
     *
     * @param sender The authenticated sender.
     * @param envelope The envelope of the message.
     * @param nowMillis The present time in milliseconds.
     * @return A future of the reply, or empty if the message has no handler, the handler failed, or
     *     the message is one-way.
     * @throws PeerRejectedException If the message is malformed.
     */
    Optional<CompletableFuture<? extends PeerMessage>> dispatch(
            InstanceIdentity sender, Envelope envelope, long nowMillis)
            throws PeerRejectedException {
        Optional<PeerMessageKind> kind = PeerMessageKind.of(envelope.kind());
        PeerHandler<PeerMessage> handler =
                kind.map(known -> handlers.get(known.type())).orElse(null);
        if (kind.isEmpty() || handler == null) {
            LOGGER.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "Skipped message of kind %d from %s", envelope.kind(), sender.name());
            return Optional.empty();
        }
        PeerMessage message = FrameCodec.INSTANCE.decode(envelope.body(), kind.get().type());
        try {
            return Optional.ofNullable(handler.handle(sender, message, nowMillis));
        } catch (RuntimeException exception) {
            LOGGER.atWarning().withCause(exception).log(
                    "Handler of message kind %s from %s failed", kind.get(), sender.name());
            return Optional.empty();
        }
    }
}
