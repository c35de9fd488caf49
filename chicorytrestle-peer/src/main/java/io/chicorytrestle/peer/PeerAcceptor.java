package io.chicorytrestle.peer;

import com.google.common.flogger.FluentLogger;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MembershipObserver;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Takes the connections that other entry instances make, and answers what comes over them. It is
 * confined to the event loop's thread but for what is said otherwise.
 */
final class PeerAcceptor implements PeerConnection.Listener {

    /** Reports peers that are cut off. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The most connections whose other side has not proved its key. */
    private static final int MAXIMUM_UNAUTHENTICATED = 64;

    /** The most questions of one connection that are answered at the same time. */
    private static final int MAXIMUM_PENDING_REQUESTS = 1_024;

    /** The event loop. */
    private final NioReactor reactor;

    /** Gives the identity, keys and bounds. */
    private final PeerSettings settings;

    /** Finds the handlers. */
    private final PeerMessageDispatcher dispatcher;

    /** Counts bytes. */
    private final PeerTraffic traffic;

    /** Sends answers; may be called by any thread. */
    private final Consumer<OutgoingMessage> sender;

    /** Tells the present time in milliseconds. */
    private final LongSupplier clock;

    /** The connections whose other side proved its key. */
    private final Set<PeerConnection> authenticated = new HashSet<>();

    /** The connections whose other side has not proved its key. */
    private final Set<PeerConnection> unauthenticated = new HashSet<>();

    /** Takes note of instances that give a sign of life. */
    private volatile MembershipObserver observer = MembershipObserver.NoOp.INSTANCE;

    /**
     * Creates a new acceptor.
     *
     * @param reactor The event loop.
     * @param settings Gives the identity, keys and bounds.
     * @param handlers Finds the handlers.
     * @param traffic Counts bytes.
     * @param sender Sends answers; may be called by any thread.
     * @param clock Tells the present time in milliseconds.
     */
    PeerAcceptor(
            NioReactor reactor,
            PeerSettings settings,
            PeerMessageDispatcher handlers,
            PeerTraffic traffic,
            Consumer<OutgoingMessage> sender,
            LongSupplier clock) {
        this.reactor = reactor;
        this.settings = settings;
        this.dispatcher = handlers;
        this.traffic = traffic;
        this.sender = sender;
        this.clock = clock;
    }

    /**
     * Sets who takes note of instances that give a sign of life. Any thread may call it.
     *
     * @param replaced Takes note of instances that give a sign of life.
     */
    void setObserver(MembershipObserver replaced) {
        observer = replaced;
    }

    /**
     * Takes a connection.
     *
     * @param socket The socket.
     */
    void accept(ITcpSocket socket) {
        boolean isFull = authenticated.size() >= settings.limits().maximumPeers();
        if (isFull || unauthenticated.size() >= MAXIMUM_UNAUTHENTICATED) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "Cannot accept more peers than %d, of these unproved %d",
                    authenticated.size() + unauthenticated.size(), unauthenticated.size());
            socket.close();
            return;
        }
        Handshake.Server server = new Handshake.Server(settings.identity(), settings.keys());
        PeerConnection made = PeerConnection.startServer(socket, settings.limits(), this, server);
        if (made.isClosed()) {
            return;
        }
        unauthenticated.add(made);
        reactor.delayBackground(
                settings.limits().connectTimeoutMillis(),
                () -> {
                    if (!made.isOpen()) {
                        made.close(new PeerRejectedException("Cannot wait for proof"));
                    }
                });
    }

    /** Closes all connections. */
    void close() {
        List<PeerConnection> all = new ArrayList<>(authenticated);
        all.addAll(unauthenticated);
        all.forEach(
                connection -> connection.close(new PeerRejectedException("Cannot serve any more")));
    }

    @Override
    public void opened(PeerConnection connection, InstanceIdentity peer) {
        unauthenticated.remove(connection);
        authenticated.add(connection);
        observer.instanceSucceeded(peer.name(), clock.getAsLong());
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope, int bytes)
            throws PeerRejectedException {
        traffic.countReceived(envelope.priority(), bytes);
        InstanceIdentity peer =
                connection
                        .peer()
                        .orElseThrow(() -> new PeerRejectedException("Cannot serve unproved"));
        switch (Envelope.FrameType.of(envelope.frameType())) {
            case TELL -> dispatcher.dispatch(peer, envelope, clock.getAsLong());
            case ASK -> handleRequest(connection, peer, envelope);
            default ->
                    throw new PeerRejectedException(
                            "Cannot take answer to nothing from: " + peer.name());
        }
    }

    @Override
    public void closed(PeerConnection connection, Exception cause) {
        unauthenticated.remove(connection);
        authenticated.remove(connection);
        if (!(cause instanceof IOException)) {
            traffic.countRejectedPeer();
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log(
                    "Cut off peer %s",
                    connection.peer().map(InstanceIdentity::name).orElse("without proof"));
        }
    }

    /**
     * Answers a question.
     *
     * @param connection The connection.
     * @param peer The other side.
     * @param question The question.
     * @throws PeerRejectedException If the question is malformed.
     */
    private void handleRequest(PeerConnection connection, InstanceIdentity peer, Envelope question)
            throws PeerRejectedException {
        if (connection.adjustPendingRequests(0) >= MAXIMUM_PENDING_REQUESTS) {
            sendReply(connection, question, null);
            return;
        }
        Optional<CompletableFuture<? extends PeerMessage>> answer =
                dispatcher.dispatch(peer, question, clock.getAsLong());
        if (answer.isEmpty()) {
            sendReply(connection, question, null);
            return;
        }
        connection.adjustPendingRequests(1);
        answer.get()
                .whenComplete(
                        (message, failure) -> {
                            reactor.execute(() -> connection.adjustPendingRequests(-1));
                            sendReply(connection, question, message);
                        });
    }

    /**
     * Sends an answer.
     *
     * @param connection The connection.
     * @param question The question.
     * @param message The answer, or {@code null} if the question was not handled.
     */
    private void sendReply(
            PeerConnection connection, Envelope question, @Nullable PeerMessage message) {
        Envelope envelope =
                message == null
                        ? new Envelope(
                                Envelope.FrameType.ERROR,
                                MessagePriority.REQUEST,
                                question.correlation(),
                                0,
                                new byte[0])
                        : new Envelope(
                                Envelope.FrameType.ANSWER,
                                MessagePriority.REQUEST,
                                question.correlation(),
                                PeerMessageKind.of(message).number(),
                                FrameCodec.INSTANCE.encodeMessage(message));
        sender.accept(OutgoingMessage.reply(connection, FrameCodec.INSTANCE.encode(envelope)));
    }
}
