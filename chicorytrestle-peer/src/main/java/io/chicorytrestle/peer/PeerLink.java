package io.chicorytrestle.peer;

import com.google.common.flogger.FluentLogger;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.identity.InstanceIdentity;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages to one entry instance over a connection that is opened on demand, and reopened
 * with exponential backoff after a failure. Confined to the event loop's thread.
 */
final class PeerLink implements PeerConnection.Listener {

    /** Logs rejected peers. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The delay before reconnecting after the first failure, in milliseconds. */
    private static final long FIRST_BACKOFF_MILLIS = 100;

    /** The maximum delay before reconnecting, in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 5_000;

    /** The event loop that runs the connection. */
    private final NioReactor reactor;

    /** The local identity, the shared keys and the limits. */
    private final PeerSettings settings;

    /** The name of the target instance. */
    private final String target;

    /** The address of the target instance. */
    private final InetSocketAddress address;

    /** The listener for the events of this link. */
    private final Listener listener;

    /** The messages that wait until the connection is open, oldest first. */
    private final Deque<OutgoingMessage> unsentMessages = new ArrayDeque<>();

    /** The requests that were sent and have no reply yet, by correlation number. */
    private final Map<Long, OutgoingMessage> pendingRequests = new HashMap<>();

    /** The connection, or empty if there is none; its handshake may be incomplete. */
    private Optional<PeerConnection> connection = Optional.empty();

    /** Whether the connection is being opened, handshake included. */
    private boolean connecting;

    /** The delay before the next connection attempt in milliseconds, zero after a success. */
    private long backoffMillis;

    /**
     * The earliest time of the next connection attempt by the event loop's clock, in milliseconds.
     */
    private long nextConnectMillis;

    /** Whether this link is closed; it never reopens. */
    private boolean closed;

    /**
     * Creates a new link, which connects when the first message is sent.
     *
     * @param reactor The event loop that runs the connection.
     * @param settings The local identity, the shared keys and the limits.
     * @param target The name of the target instance.
     * @param address The address of the target instance.
     * @param listener The listener for the events of this link.
     */
    PeerLink(
            NioReactor reactor,
            PeerSettings settings,
            String target,
            InetSocketAddress address,
            Listener listener) {
        this.reactor = reactor;
        this.settings = settings;
        this.target = target;
        this.address = address;
        this.listener = listener;
    }

    /**
     * Returns the address of the target instance, which never changes for a link.
     *
     * @return The address of the target instance.
     */
    InetSocketAddress address() {
        return address;
    }

    /**
     * Sends a message at once or as soon as the connection is open. A request fails at once if the
     * link is closed, reconnecting is delayed after a failure, or too many messages wait.
     *
     * @param outgoing The message.
     */
    void send(OutgoingMessage outgoing) {
        if (outgoing.isCompleted()) {
            return;
        }
        if (connection.filter(PeerConnection::isOpen).isPresent()) {
            write(outgoing);
        } else if (closed || isBackingOff() || isQueueFull()) {
            outgoing.failUnsent("connection is not open");
        } else {
            unsentMessages.addLast(outgoing);
            connect();
        }
    }

    /**
     * Fails a request whose time-out has passed, either as unsent or as possibly run.
     *
     * @param outgoing The request.
     */
    void timeOut(OutgoingMessage outgoing) {
        if (pendingRequests.remove(outgoing.correlation()) == null) {
            unsentMessages.remove(outgoing);
            outgoing.failUnsent("time is up before it was sent");
        } else {
            outgoing.failSent("time is up");
        }
    }

    /**
     * Closes this link for good and fails all its requests.
     *
     * @param reason The reason, which is part of the requests' error message.
     */
    void close(String reason) {
        closed = true;
        connection.ifPresent(open -> open.close(new PeerRejectedException(reason)));
        failAll(reason);
    }

    @Override
    public void opened(PeerConnection opened, InstanceIdentity peer) {
        connecting = false;
        backoffMillis = 0;
        listener.peerReached(peer.name());
        while (!unsentMessages.isEmpty() && opened.isOpen()) {
            write(unsentMessages.removeFirst());
        }
    }

    @Override
    public void received(PeerConnection source, Envelope envelope, int bytes)
            throws PeerRejectedException {
        Envelope.FrameType frameType = Envelope.FrameType.of(envelope.frameType());
        if (frameType != Envelope.FrameType.ANSWER && frameType != Envelope.FrameType.ERROR) {
            throw new PeerRejectedException("Cannot take question on own connection: " + frameType);
        }
        OutgoingMessage outgoing = pendingRequests.remove(envelope.correlation());
        listener.replyReceived(outgoing, envelope, bytes);
    }

    @Override
    public void closed(PeerConnection source, Exception cause) {
        if (cause instanceof PeerRejectedException) {
            listener.peerRejected();
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log(
                    "Cut off peer %s", target);
        }
        if (connection.filter(present -> present == source).isPresent()) {
            connection = Optional.empty();
            connectionFailed(String.valueOf(cause.getMessage()));
        }
    }

    /** Opens a connection unless one is being opened or the link is closed. */
    private void connect() {
        if (connecting || closed) {
            return;
        }
        connecting = true;
        PeerLimits limits = settings.limits();
        TcpSocket.connect(
                        reactor,
                        address,
                        Duration.ofMillis(limits.connectTimeoutMillis()),
                        SocketSettings.defaultInstance())
                .whenResult(socket -> startHandshake(socket))
                .whenException(failure -> connectionFailed(String.valueOf(failure.getMessage())));
    }

    /**
     * Starts the handshake over a new connection, which is closed if the handshake isn't complete
     * before the time-out.
     *
     * @param socket The connected socket.
     */
    private void startHandshake(TcpSocket socket) {
        if (closed) {
            socket.close();
            return;
        }
        Handshake.Client client =
                new Handshake.Client(settings.identity(), target, settings.keys());
        PeerConnection newConnection =
                PeerConnection.startClient(socket, settings.limits(), this, client);
        if (newConnection.isClosed()) {
            connectionFailed("connection broke before the hello");
            return;
        }
        connection = Optional.of(newConnection);
        reactor.delayBackground(
                settings.limits().connectTimeoutMillis(),
                () -> {
                    if (!newConnection.isOpen()) {
                        newConnection.close(new PeerRejectedException("Cannot wait for hello"));
                    }
                });
    }

    /**
     * Writes a message to the open connection, or fails it if the connection is not open.
     *
     * @param outgoing The message.
     */
    private void write(OutgoingMessage outgoing) {
        if (outgoing.isCompleted()) {
            return;
        }
        if (outgoing.expectsReply()) {
            pendingRequests.put(outgoing.correlation(), outgoing);
        }
        boolean isSent = connection.filter(open -> open.send(outgoing.envelope())).isPresent();
        if (!isSent) {
            pendingRequests.remove(outgoing.correlation());
            outgoing.failUnsent("connection is not open");
        }
    }

    /**
     * Handles a failed connection attempt or a broken connection: fails all requests and doubles
     * the delay before the next attempt.
     *
     * @param reason The cause of the failure, which is part of the requests' error message.
     */
    private void connectionFailed(String reason) {
        boolean wasConnecting = connecting;
        connecting = false;
        backoffMillis =
                Math.min(MAXIMUM_BACKOFF_MILLIS, Math.max(FIRST_BACKOFF_MILLIS, backoffMillis * 2));
        nextConnectMillis = reactor.currentTimeMillis() + backoffMillis;
        failAll(reason);
        if (wasConnecting && !closed) {
            listener.peerUnreachable(target);
        }
    }

    /**
     * Fails all requests, those that were sent as possibly run.
     *
     * @param reason The reason, which is part of the requests' error message.
     */
    private void failAll(String reason) {
        List<OutgoingMessage> unsent = List.copyOf(unsentMessages);
        unsentMessages.clear();
        List<OutgoingMessage> sent = List.copyOf(pendingRequests.values());
        pendingRequests.clear();
        unsent.forEach(outgoing -> outgoing.failUnsent(reason));
        sent.forEach(outgoing -> outgoing.failSent(reason));
    }

    /**
     * Returns {@code true} if reconnecting is still delayed after a failure.
     *
     * @return {@code true} if the next connection attempt isn't due yet.
     */
    private boolean isBackingOff() {
        return !connecting
                && connection.isEmpty()
                && reactor.currentTimeMillis() < nextConnectMillis;
    }

    /**
     * Returns {@code true} if no more messages may wait for the connection.
     *
     * @return {@code true} if the queue of unsent messages has reached its limit.
     */
    private boolean isQueueFull() {
        return unsentMessages.size() >= settings.limits().maximumQueuedMessages();
    }

    /** Receives the events of a link, on the event loop's thread. */
    interface Listener {

        /**
         * Called when the handshake with an instance is complete.
         *
         * @param instance The name of the instance.
         */
        void peerReached(String instance);

        /**
         * Called when a connection to an instance could not be opened.
         *
         * @param instance The name of the instance.
         */
        void peerUnreachable(String instance);

        /**
         * Called for each reply received.
         *
         * @param outgoing The request, or {@code null} if none is pending, as after its time-out.
         * @param envelope The reply or error.
         * @param bytes The size of its frame in bytes, with length prefix and MAC.
         * @throws PeerRejectedException If the reply is malformed, which closes the connection.
         */
        void replyReceived(@Nullable OutgoingMessage outgoing, Envelope envelope, int bytes)
                throws PeerRejectedException;

        /** Called when a connection was closed because the peer was rejected. */
        void peerRejected();
    }
}
