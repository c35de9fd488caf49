package io.chicorytrestle.gateway.front;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.gateway.link.EventLoopLag;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** HTTP server that accepts callers' connections. Confined to the event loop thread. */
public final class FrontHttpServer {

    /** The accept backlog, large enough for all callers of a zone to connect at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** The options of a caller's socket. */
    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /** The event loop. */
    private final NioReactor reactor;

    /** Processes complete requests. */
    private final HttpRequestHandler handler;

    /** Tells for how long bytes that are read now may have been waiting. */
    private final EventLoopLag eventLoopLag;

    /** Supplies the current request limits, read once for each accepted connection. */
    private final Supplier<RequestLimits> requestLimits;

    /** Called for each request that was rejected before it reached the handler. */
    private final BiConsumer<HttpResponseStatus, String> rejectionObserver;

    /** The address to listen on. */
    private final InetSocketAddress address;

    /** Why new connections are not accepted now. */
    private final Set<AcceptPause> pauses = EnumSet.noneOf(AcceptPause.class);

    /** The listening socket, or null if this server does not listen. */
    private @Nullable ServerSocketChannel listeningSocket;

    /** The open connections, idle ones included. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The maximum request body bytes buffered over all connections. */
    private final long maximumBufferedBytes;

    /** The request body bytes buffered over all connections. */
    private long bufferedBytes;

    /** Whether connections close after their next response. */
    private boolean isDraining;

    /**
     * Creates a server, which does not listen yet.
     *
     * @param reactor The event loop.
     * @param address The address to listen on.
     * @param eventLoopLag Tells for how long bytes that are read now may have been waiting.
     * @param handler Processes complete requests.
     * @param limits Supplies the current request limits, read once for each accepted connection.
     * @param rejectionObserver Called for each request that was rejected before it reached the
     *     handler.
     * @param maximumBufferedBytes The maximum request body bytes buffered over all connections.
     */
    public FrontHttpServer(
            NioReactor reactor,
            InetSocketAddress address,
            EventLoopLag eventLoopLag,
            HttpRequestHandler handler,
            Supplier<RequestLimits> limits,
            BiConsumer<HttpResponseStatus, String> rejectionObserver,
            long maximumBufferedBytes) {
        this.reactor = reactor;
        this.eventLoopLag = eventLoopLag;
        this.handler = handler;
        this.requestLimits = limits;
        this.rejectionObserver = rejectionObserver;
        this.maximumBufferedBytes = maximumBufferedBytes;
        this.address = address;
    }

    /**
     * Binds the address and starts accepting connections.
     *
     * @throws IOException If the address cannot be bound.
     */
    public void listen() throws IOException {
        listeningSocket =
                reactor.listen(
                        address,
                        ServerSocketSettings.builder().withBacklog(ACCEPT_BACKLOG).build(),
                        this::acceptConnection);
        updateInterest();
    }

    /**
     * Stops or resumes accepting connections. Connections that arrive in the meantime are held by
     * the operating system.
     *
     * @param pause The reason.
     * @param isPaused Whether the reason applies.
     */
    public void setPaused(AcceptPause pause, boolean isPaused) {
        boolean isChanged = isPaused ? pauses.add(pause) : pauses.remove(pause);
        if (isChanged) {
            updateInterest();
        }
    }

    /** Tells the selector whether connections are accepted. */
    private void updateInterest() {
        SelectionKey key =
                listeningSocket == null ? null : listeningSocket.keyFor(reactor.ensureSelector());
        if (key != null && key.isValid()) {
            key.interestOps(pauses.isEmpty() ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    /** Closes each connection after its next response. New connections are still accepted. */
    public void drain() {
        isDraining = true;
    }

    /** Stops accepting connections and closes the idle ones. */
    public void close() {
        if (listeningSocket != null) {
            reactor.closeChannel(listeningSocket, listeningSocket.keyFor(reactor.ensureSelector()));
            listeningSocket = null;
        }
        closeIdle();
    }

    /** Closes the connections that have no request in progress. */
    public void closeIdle() {
        List.copyOf(connections).stream()
                .filter(CallerConnection::isIdle)
                .forEach(CallerConnection::close);
    }

    /**
     * Returns the number of open connections, idle ones included.
     *
     * @return The number of connections.
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Returns the number of connections on which a request is being received or processed.
     *
     * @return The number of busy connections.
     */
    public long busyConnections() {
        return connections.stream().filter(connection -> !connection.isIdle()).count();
    }

    /**
     * Registers a new connection and starts reading from it.
     *
     * @param channel The accepted socket.
     */
    private void acceptConnection(SocketChannel channel) {
        ITcpSocket socket;
        try {
            InetSocketAddress caller = (InetSocketAddress) channel.getRemoteAddress();
            socket = TcpSocket.wrapChannel(reactor, channel, caller, SOCKET_SETTINGS);
        } catch (IOException exception) {
            // The caller has closed the connection before it was accepted.
            reactor.closeChannel(channel, null);
            return;
        }
        CallerConnection connection = new CallerConnection(this, socket, requestLimits.get());
        connections.add(connection);
        connection.start();
    }

    /**
     * Removes a closed connection.
     *
     * @param connection The connection.
     */
    void removeConnection(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns the request handler.
     *
     * @return The handler.
     */
    HttpRequestHandler handler() {
        return handler;
    }

    /**
     * Returns whether connections close after their next response.
     *
     * @return {@code true} after {@link #drain()}.
     */
    boolean isDraining() {
        return isDraining;
    }

    /**
     * Returns the current time.
     *
     * @return The time of the last poll for input, in milliseconds.
     */
    long nowMillis() {
        return reactor.currentTimeMillis();
    }

    /**
     * Returns the earliest time at which bytes that are read now from a polled socket can have
     * arrived.
     *
     * @return The time in milliseconds.
     */
    long earliestArrivalMillis() {
        return reactor.currentTimeMillis() - eventLoopLag.lagMillis();
    }

    /**
     * Reserves buffer memory for part of a request body.
     *
     * @param bytes The number of bytes.
     * @return {@code false} if the limit over all connections would be exceeded; nothing is
     *     reserved then.
     */
    boolean reserveBodyBytes(int bytes) {
        if (bufferedBytes + bytes > maximumBufferedBytes) {
            return false;
        }
        bufferedBytes += bytes;
        return true;
    }

    /**
     * Releases memory reserved for a request body.
     *
     * @param bytes The number of bytes.
     */
    void releaseBodyBytes(int bytes) {
        bufferedBytes -= bytes;
    }

    /**
     * Reports a request that was rejected before it reached the handler.
     *
     * @param status The response status.
     * @param reason What was rejected and why.
     */
    void reportRejection(HttpResponseStatus status, String reason) {
        rejectionObserver.accept(status, reason);
    }

    /**
     * Schedules an action that does not keep the event loop alive.
     *
     * @param delayMillis The delay in milliseconds.
     * @param action The action.
     * @return The handle that cancels the action.
     */
    ScheduledRunnable schedule(long delayMillis, Runnable action) {
        return reactor.delayBackground(delayMillis, action);
    }
}
