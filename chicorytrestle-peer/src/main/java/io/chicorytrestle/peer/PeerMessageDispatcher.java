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

/** Finds the handler of each message. Several threads may call it. */
final class PeerMessageDispatcher implements PeerHandlerRegistry {

    /** Reports messages that nobody handles. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The handlers by type of message. */
    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();

    @Override
    @SuppressWarnings("unchecked")
    public <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        handlers.put(type, (PeerHandler<PeerMessage>) (PeerHandler<?>) handler);
    }

    /**
     * Handles a message.
     *
     * @param sender The sender.
     * @param envelope The envelope of the message.
     * @param nowMillis The present time in milliseconds.
     * @return The answer, or empty if there is none since nobody handles such messages or since
     *     none is wanted.
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
                    "Cannot handle message of kind %s from %s", kind.get(), sender.name());
            return Optional.empty();
        }
    }
}
