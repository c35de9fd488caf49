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
 * Sends to one entry instance over a connection of its own, which is made again after a failure. It
 * is confined to the event loop's thread.
 */
final class PeerLink implements PeerConnection.Listener {

    /** Reports peers that are cut off. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The first delay before another connect in milliseconds. */
    private static final long FIRST_BACKOFF_MILLIS = 100;

    /** The longest delay before another connect in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 5_000;

    /** The event loop. */
    private final NioReactor reactor;

    /** Gives the identity, keys and bounds. */
    private final PeerSettings settings;

    /** The name of the instance to send to. */
    private final String target;

    /** The address to connect to. */
    private final InetSocketAddress address;

    /** Takes what happens. */
    private final Listener listener;

    /** The envelopes that wait for the connection. */
    private final Deque<OutgoingMessage> unsentMessages = new ArrayDeque<>();

    /** The questions that were sent, by correlation. */
    private final Map<Long, OutgoingMessage> pendingRequests = new HashMap<>();

    /** The connection, or empty if there is none. */
    private Optional<PeerConnection> connection = Optional.empty();

    /** Whether a connect is under way. */
    private boolean connecting;

    /** The delay before the next connect in milliseconds, zero after a success. */
    private long backoffMillis;

    /** The time before which there is no other connect, in milliseconds. */
    private long nextConnectMillis;

    /** Whether this link was closed for good. */
    private boolean closed;

    /**
     * Creates a new link.
     *
     * @param reactor The event loop.
     * @param settings Gives the identity, keys and bounds.
     * @param target The name of the instance to send to.
     * @param address The address to connect to.
     * @param listener Takes what happens.
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
     * Returns the address to connect to.
     *
     * @return The address.
     */
    InetSocketAddress address() {
        return address;
    }

    /**
     * Sends an envelope, at once or when the connection is open.
     *
     * @param outgoing The envelope.
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
     * Gives a question up.
     *
     * @param outgoing The question.
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
     * Closes this link for good.
     *
     * @param reason Why it is closed.
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
    public void received(PeerConnection from, Envelope envelope, int bytes)
            throws PeerRejectedException {
        Envelope.FrameType form = Envelope.FrameType.of(envelope.frameType());
        if (form != Envelope.FrameType.ANSWER && form != Envelope.FrameType.ERROR) {
            throw new PeerRejectedException("Cannot take question on own connection: " + form);
        }
        OutgoingMessage outgoing = pendingRequests.remove(envelope.correlation());
        listener.replyReceived(outgoing, envelope, bytes);
    }

    @Override
    public void closed(PeerConnection from, Exception cause) {
        if (cause instanceof PeerRejectedException) {
            listener.peerRejected();
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(cause).log(
                    "Cut off peer %s", target);
        }
        if (connection.filter(present -> present == from).isPresent()) {
            connection = Optional.empty();
            connectionFailed(String.valueOf(cause.getMessage()));
        }
    }

    /** Connects unless a connect is under way. */
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
     * Proves the key over a new connection.
     *
     * @param socket The socket.
     */
    private void startHandshake(TcpSocket socket) {
        if (closed) {
            socket.close();
            return;
        }
        Handshake.Client client =
                new Handshake.Client(settings.identity(), target, settings.keys());
        PeerConnection made = PeerConnection.startClient(socket, settings.limits(), this, client);
        if (made.isClosed()) {
            connectionFailed("connection broke before the hello");
            return;
        }
        connection = Optional.of(made);
        reactor.delayBackground(
                settings.limits().connectTimeoutMillis(),
                () -> {
                    if (!made.isOpen()) {
                        made.close(new PeerRejectedException("Cannot wait for hello"));
                    }
                });
    }

    /**
     * Writes an envelope to the open connection.
     *
     * @param outgoing The envelope.
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
     * Takes note of a failed connect or a broken connection.
     *
     * @param reason What failed.
     */
    private void connectionFailed(String reason) {
        boolean isUnreached = connecting;
        connecting = false;
        backoffMillis =
                Math.min(MAXIMUM_BACKOFF_MILLIS, Math.max(FIRST_BACKOFF_MILLIS, backoffMillis * 2));
        nextConnectMillis = reactor.currentTimeMillis() + backoffMillis;
        failAll(reason);
        if (isUnreached && !closed) {
            listener.peerUnreachable(target);
        }
    }

    /**
     * Fails all questions.
     *
     * @param reason Why they fail.
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
     * Returns {@code true} if no connect is allowed yet.
     *
     * @return {@code true} if the last connect failed just now.
     */
    private boolean isBackingOff() {
        return !connecting && connection.isEmpty() && reactor.currentTimeMillis() < nextConnectMillis;
    }

    /**
     * Returns {@code true} if no more envelopes may wait.
     *
     * @return {@code true} if as many envelopes wait as may.
     */
    private boolean isQueueFull() {
        return unsentMessages.size() >= settings.limits().maximumQueuedMessages();
    }

    /** Takes what happens to a link. */
    interface Listener {

        /**
         * Takes note of an instance that was reached.
         *
         * @param instance The instance's name.
         */
        void peerReached(String instance);

        /**
         * Takes note of an instance that could not be reached.
         *
         * @param instance The instance's name.
         */
        void peerUnreachable(String instance);

        /**
         * Takes an answer.
         *
         * @param outgoing The question, or {@code null} if it was given up.
         * @param envelope The answer.
         * @param bytes The bytes of its frame.
         * @throws PeerRejectedException If the answer is malformed.
         */
        void replyReceived(@Nullable OutgoingMessage outgoing, Envelope envelope, int bytes)
                throws PeerRejectedException;

        /** Takes note of a connection that was cut off. */
        void peerRejected();
    }
}
