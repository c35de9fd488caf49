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
 * Accepts the connections that other entry instances open, and dispatches the messages received
 * over them. Confined to the event loop's thread unless stated otherwise.
 */
final class PeerAcceptor implements PeerConnection.Listener {

    /** Logs rejected connections and peers. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The maximum number of connections whose handshake is not complete. */
    private static final int MAXIMUM_UNAUTHENTICATED = 64;

    /** The maximum number of requests of one connection that are handled concurrently. */
    private static final int MAXIMUM_PENDING_REQUESTS = 1_024;

    /** The event loop that runs the channel. */
    private final NioReactor reactor;

    /** The local identity, the shared keys and the limits. */
    private final PeerSettings settings;

    /** Passes messages to their registered handlers. */
    private final PeerMessageDispatcher dispatcher;

    /** Counts received bytes and rejected peers. */
    private final PeerTraffic traffic;

    /** Queues replies for sending; callable from any thread. */
    private final Consumer<OutgoingMessage> sender;

    /** Returns the present time in milliseconds. */
    private final LongSupplier clock;

    /** The connections whose handshake is complete. */
    private final Set<PeerConnection> authenticated = new HashSet<>();

    /** The connections whose handshake is not complete. */
    private final Set<PeerConnection> unauthenticated = new HashSet<>();

    /** Notified of instances that completed a handshake. */
    private volatile MembershipObserver observer = MembershipObserver.NoOp.INSTANCE;

    /**
     * Creates a new acceptor.
     *
     * @param reactor The event loop that runs the channel.
     * @param settings The local identity, the shared keys and the limits.
     * @param dispatcher Passes messages to their registered handlers.
     * @param traffic Counts received bytes and rejected peers.
     * @param sender Queues replies for sending; callable from any thread.
     * @param clock Returns the present time in milliseconds.
     */
    PeerAcceptor(
            NioReactor reactor,
            PeerSettings settings,
            PeerMessageDispatcher dispatcher,
            PeerTraffic traffic,
            Consumer<OutgoingMessage> sender,
            LongSupplier clock) {
        this.reactor = reactor;
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.traffic = traffic;
        this.sender = sender;
        this.clock = clock;
    }

    /**
     * Sets the observer that is notified of instances that completed a handshake. Any thread may
     * call this method.
     *
     * @param newObserver The observer.
     */
    void setObserver(MembershipObserver newObserver) {
        observer = newObserver;
    }

    /**
     * Accepts a connection, or closes it if there are too many. It is also closed if the handshake
     * isn't complete before the connect time-out.
     *
     * @param socket The accepted socket.
     */
    void accept(ITcpSocket socket) {
        boolean isFull = authenticated.size() >= settings.limits().maximumPeers();
        if (isFull || unauthenticated.size() >= MAXIMUM_UNAUTHENTICATED) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "Cannot accept more peers than %d, of these unauthenticated %d",
                    authenticated.size() + unauthenticated.size(), unauthenticated.size());
            socket.close();
            return;
        }
        Handshake.Server server = new Handshake.Server(settings.identity(), settings.keys());
        PeerConnection connection =
                PeerConnection.startServer(socket, settings.limits(), this, server);
        if (connection.isClosed()) {
            return;
        }
        unauthenticated.add(connection);
        reactor.delayBackground(
                settings.limits().connectTimeoutMillis(),
                () -> {
                    if (!connection.isOpen()) {
                        connection.close(
                                new PeerRejectedException(
                                        "Cannot wait longer for handshake of client"));
                    }
                });
    }

    /** Closes all connections, with or without a complete handshake. */
    void close() {
        List<PeerConnection> all = new ArrayList<>(authenticated);
        all.addAll(unauthenticated);
        all.forEach(
                connection ->
                        connection.close(
                                new PeerRejectedException(
                                        "Cannot serve peers after the channel was closed")));
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
                        .orElseThrow(
                                () ->
                                        new PeerRejectedException(
                                                "Cannot handle message from unauthenticated peer"));
        switch (Envelope.FrameType.of(envelope.frameType())) {
            case TELL -> dispatcher.dispatch(peer, envelope, clock.getAsLong());
            case ASK -> handleRequest(connection, peer, envelope);
            default ->
                    throw new PeerRejectedException(
                            "Cannot accept reply without request from: " + peer.name());
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
                    connection.peer().map(InstanceIdentity::name).orElse("(unauthenticated)"));
        }
    }

    /**
     * Handles a request and sends its reply once the handler completes it. An error reply is sent
     * if too many requests are pending, there is no handler, or the handler fails.
     *
     * @param connection The connection that the request was received over.
     * @param peer The authenticated sender.
     * @param request The request.
     * @throws PeerRejectedException If the request is malformed.
     */
    private void handleRequest(PeerConnection connection, InstanceIdentity peer, Envelope request)
            throws PeerRejectedException {
        if (connection.adjustPendingRequests(0) >= MAXIMUM_PENDING_REQUESTS) {
            sendReply(connection, request, null);
            return;
        }
        Optional<CompletableFuture<? extends PeerMessage>> reply =
                dispatcher.dispatch(peer, request, clock.getAsLong());
        if (reply.isEmpty()) {
            sendReply(connection, request, null);
            return;
        }
        connection.adjustPendingRequests(1);
        reply.get()
                .whenComplete(
                        (message, failure) -> {
                            reactor.execute(() -> connection.adjustPendingRequests(-1));
                            sendReply(connection, request, message);
                        });
    }

    /**
     * Queues a reply. Any thread may call this method.
     *
     * @param connection The connection that the request was received over.
     * @param request The request.
     * @param message The reply, or {@code null} to send an error as the request wasn't handled.
     */
    private void sendReply(
            PeerConnection connection, Envelope request, @Nullable PeerMessage message) {
        Envelope envelope =
                message == null
                        ? new Envelope(
                                Envelope.FrameType.ERROR,
                                MessagePriority.REQUEST,
                                request.correlation(),
                                0,
                                new byte[0])
                        : new Envelope(
                                Envelope.FrameType.ANSWER,
                                MessagePriority.REQUEST,
                                request.correlation(),
                                PeerMessageKind.of(message).number(),
                                FrameCodec.INSTANCE.encodeMessage(message));
        sender.accept(OutgoingMessage.reply(connection, FrameCodec.INSTANCE.encode(envelope)));
    }
}
