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

/** Accepts the connections of callers. It is confined to the event loop's thread. */
public final class FrontHttpServer {

    /** The connections that may wait to be accepted: a zone's callers all at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** The event loop. */
    private final NioReactor reactor;

    /** Takes requests. */
    private final HttpRequestHandler handler;

    /** Tells the bounds of requests. */
    private final Supplier<RequestLimits> requestLimits;

    /** Takes note of a request that was refused before it reached the handler. */
    private final BiConsumer<HttpResponseStatus, String> rejectionObserver;

    /** Accepts connections. */
    private final SimpleServer server;

    /** The open connections. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The bytes of bodies that may be held at the same time. */
    private final long maximumBufferedBytes;

    /** The bytes of bodies that are held. */
    private long bufferedBytes;

    /** Whether connections end with their next answer. */
    private boolean isDraining;

    /**
     * Creates a new front.
     *
     * @param reactor The event loop.
     * @param address The address to listen at.
     * @param handler Takes requests.
     * @param limits Tells the bounds of requests.
     * @param refusals Takes note of a request that was refused before it reached the handler.
     * @param maximumHeldBytes The bytes of bodies that may be held at the same time.
     */
    public FrontHttpServer(
            NioReactor reactor,
            InetSocketAddress address,
            HttpRequestHandler handler,
            Supplier<RequestLimits> limits,
            BiConsumer<HttpResponseStatus, String> refusals,
            long maximumHeldBytes) {
        this.reactor = reactor;
        this.handler = handler;
        this.requestLimits = limits;
        this.rejectionObserver = refusals;
        this.maximumBufferedBytes = maximumHeldBytes;
        server =
                SimpleServer.builder(reactor, this::acceptConnection)
                        .withListenAddress(address)
                        .withServerSocketSettings(
                                ServerSocketSettings.builder().withBacklog(ACCEPT_BACKLOG).build())
                        .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
                        .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException If the address cannot be bound.
     */
    public void listen() throws IOException {
        server.listen();
    }

    /** Lets each connection end with its next answer. New connections are still accepted. */
    public void drain() {
        isDraining = true;
    }

    /** Accepts no more connections and closes those without a request. */
    public void close() {
        server.close();
        closeIdle();
    }

    /** Closes the connections without a request. */
    public void closeIdle() {
        List.copyOf(connections).stream()
                .filter(CallerConnection::isIdle)
                .forEach(CallerConnection::close);
    }

    /**
     * Returns the number of open connections.
     *
     * @return The number of open connections.
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Returns the number of connections with a request that is received or answered.
     *
     * @return The number of busy connections.
     */
    public long busyConnections() {
        return connections.stream().filter(connection -> !connection.isIdle()).count();
    }

    /**
     * Takes a connection.
     *
     * @param socket The socket.
     */
    private void acceptConnection(ITcpSocket socket) {
        CallerConnection connection = new CallerConnection(this, socket, requestLimits.get());
        connections.add(connection);
        connection.start();
    }

    /**
     * Forgets a closed connection.
     *
     * @param connection The connection.
     */
    void removeConnection(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns the handler of requests.
     *
     * @return The handler.
     */
    HttpRequestHandler handler() {
        return handler;
    }

    /**
     * Returns {@code true} if connections end with their next answer.
     *
     * @return {@code true} if connections end with their next answer.
     */
    boolean isDraining() {
        return isDraining;
    }

    /**
     * Reserves memory for part of a body.
     *
     * @param bytes The bytes.
     * @return {@code true} if the bytes may be held.
     */
    boolean reserveBodyBytes(int bytes) {
        if (bufferedBytes + bytes > maximumBufferedBytes) {
            return false;
        }
        bufferedBytes += bytes;
        return true;
    }

    /**
     * Releases the memory of a body.
     *
     * @param bytes The bytes.
     */
    void releaseBodyBytes(int bytes) {
        bufferedBytes -= bytes;
    }

    /**
     * Takes note of a request that was refused before it reached the handler.
     *
     * @param status The status.
     * @param reason What was refused and why.
     */
    void reportRejection(HttpResponseStatus status, String reason) {
        rejectionObserver.accept(status, reason);
    }

    /**
     * Calls an action later.
     *
     * @param delayMillis The delay in milliseconds.
     * @param action The action.
     * @return Allows to cancel the action.
     */
    ScheduledRunnable schedule(long delayMillis, Runnable action) {
        return reactor.delayBackground(delayMillis, action);
    }
}
