package io.chicorytrestle.gateway.front;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.route.RequestLimits;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** HTTP server that accepts callers' connections. Confined to the event loop thread. */
public final class FrontHttpServer {

    /** The accept backlog, large enough for all callers of a zone to connect at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** The event loop. */
    private final NioReactor reactor;

    /** Processes complete requests. */
    private final HttpRequestHandler handler;

    /** Supplies the current request limits, read once for each accepted connection. */
    private final Supplier<RequestLimits> requestLimits;

    /** Called for each request that was rejected before it reached the handler. */
    private final BiConsumer<HttpResponseStatus, String> rejectionObserver;

    /** The listening socket. */
    private final SimpleServer server;

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
     * @param handler Processes complete requests.
     * @param limits Supplies the current request limits, read once for each accepted connection.
     * @param rejectionObserver Called for each request that was rejected before it reached the
     *     handler.
     * @param maximumBufferedBytes The maximum request body bytes buffered over all connections.
     */
    public FrontHttpServer(
            NioReactor reactor,
            InetSocketAddress address,
            HttpRequestHandler handler,
            Supplier<RequestLimits> limits,
            BiConsumer<HttpResponseStatus, String> rejectionObserver,
            long maximumBufferedBytes) {
        this.reactor = reactor;
        this.handler = handler;
        this.requestLimits = limits;
        this.rejectionObserver = rejectionObserver;
        this.maximumBufferedBytes = maximumBufferedBytes;
        server =
                SimpleServer.builder(reactor, this::acceptConnection)
                        .withListenAddress(address)
                        .withServerSocketSettings(
                                ServerSocketSettings.builder().withBacklog(ACCEPT_BACKLOG).build())
                        .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                        .build();
    }

    /**
     * Binds the address and starts accepting connections.
     *
     * @throws IOException If the address cannot be bound.
     */
    public void listen() throws IOException {
        server.listen();
    }

    /** Closes each connection after its next response. New connections are still accepted. */
    public void drain() {
        isDraining = true;
    }

    /** Stops accepting connections and closes the idle ones. */
    public void close() {
        server.close();
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
     * @param socket The accepted socket.
     */
    private void acceptConnection(ITcpSocket socket) {
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
