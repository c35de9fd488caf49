package io.chicorytrestle.gateway.endpoint;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.link.Addresses;
import io.chicorytrestle.gateway.link.EventLoopLag;
import io.chicorytrestle.gateway.link.ResponseSyntax;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Keeps connections to endpoints open between requests. It is confined to the event loop. */
public final class EndpointConnectionPool {

    /**
     * The time-out for connecting in milliseconds. A lost SYN packet is sent again only after a
     * second, by when another endpoint can have responded.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 700;

    /** The time in milliseconds after which a connection that nobody waits for is given up. */
    private static final long ABANDONED_CONNECT_MILLIS = 3_000;

    /**
     * The time in milliseconds for which an idle connection is kept if the endpoint states none.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 30_000;

    /** The options of a socket. */
    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).withKeepAlive(true).build();

    /** The event loop. */
    private final NioReactor reactor;

    /** Reads the heads of responses. */
    private final HeaderDialect dialect;

    /** Decides whether responses are well-formed. */
    private final ResponseSyntax responseSyntax;

    /** The metrics of connections. */
    private final GatewayMetrics metrics;

    /** The idle connections by incarnation of the endpoint, the most recently used first. */
    private final Map<String, Deque<EndpointConnection>> idleConnections = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param reactor The event loop.
     * @param dialect Reads the heads of responses.
     * @param metrics The metrics to which those of connections are added.
     */
    public EndpointConnectionPool(
            NioReactor reactor, HeaderDialect dialect, GatewayMetrics metrics) {
        this.reactor = reactor;
        this.dialect = dialect;
        responseSyntax = ResponseSyntax.of(dialect.singleResponseHeaders());
        this.metrics = metrics;
    }

    /**
     * Returns an idle connection to an endpoint, or opens a new one.
     *
     * @param endpoint The endpoint.
     * @param maximumIdleMillis The longest idle time allowed in milliseconds.
     * @return The connection, or the failure to connect, in which case nothing was sent.
     */
    public Promise<EndpointConnection> acquire(ServingEndpoint endpoint, long maximumIdleMillis) {
        Deque<EndpointConnection> connections = idleConnections.get(endpoint.incarnation());
        if (connections != null) {
            EndpointConnection connection = connections.peekFirst();
            if (connection != null && connection.isUsable(nowMillis(), maximumIdleMillis)) {
                connections.removeFirst();
                return Promise.of(connection);
            }
        }
        metrics.counter("endpoint_connections_total").inc();
        SettablePromise<EndpointConnection> acquired = new SettablePromise<>();
        ScheduledRunnable timer =
                EventLoopLag.delayUntilInputIsHandled(
                        reactor,
                        CONNECT_TIMEOUT_MILLIS,
                        () -> acquired.trySetException(new IOException("Connection timed out")));
        TcpSocket.connect(
                        reactor,
                        Addresses.parse(endpoint.address()),
                        Duration.ofMillis(ABANDONED_CONNECT_MILLIS),
                        SOCKET_SETTINGS)
                .whenComplete(
                        (socket, failure) -> {
                            if (timer.isActive()) {
                                timer.cancel();
                            }
                            if (failure != null) {
                                acquired.trySetException(failure);
                            } else {
                                handleConnected(acquired, endpoint, socket);
                            }
                        });
        return acquired;
    }

    /**
     * Hands an established connection to the request that waits for it, or keeps it for a later one
     * if the request has stopped waiting.
     *
     * @param acquired Receives the connection unless it has failed.
     * @param endpoint The endpoint.
     * @param socket The socket of the connection.
     */
    private void handleConnected(
            SettablePromise<EndpointConnection> acquired,
            ServingEndpoint endpoint,
            ITcpSocket socket) {
        EndpointConnection connection =
                new EndpointConnection(endpoint, dialect, this, socket, DEFAULT_KEEP_ALIVE_MILLIS);
        if (!acquired.trySet(connection)) {
            giveBack(connection);
        }
    }

    /**
     * Takes a connection back on which no request was sent since it was acquired.
     *
     * @param connection The connection.
     */
    public void giveBack(EndpointConnection connection) {
        connection.markIdle();
        release(connection);
        connection.watch();
    }

    /**
     * Takes a connection back after a complete response.
     *
     * @param connection The connection, which is idle.
     */
    void release(EndpointConnection connection) {
        idleConnections
                .computeIfAbsent(connection.endpoint().incarnation(), ignored -> new ArrayDeque<>())
                .addFirst(connection);
    }

    /**
     * Removes a connection that was closed or lost.
     *
     * @param connection The connection, idle or not.
     */
    void remove(EndpointConnection connection) {
        Deque<EndpointConnection> connections =
                idleConnections.get(connection.endpoint().incarnation());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /**
     * Closes the idle connections to an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void closeIdle(String incarnation) {
        Deque<EndpointConnection> connections = idleConnections.remove(incarnation);
        if (connections != null) {
            connections.forEach(EndpointConnection::close);
        }
    }

    /**
     * Closes the idle connections to unreachable zones, since requests on them might get no
     * response.
     *
     * @param zones The unreachable zones.
     */
    public void closeIdleInZones(Set<String> zones) {
        for (Deque<EndpointConnection> connections : idleConnections.values()) {
            connections.removeIf(
                    connection -> {
                        boolean isUnreachable = zones.contains(connection.endpoint().zone());
                        if (isUnreachable) {
                            connection.close();
                        }
                        return isUnreachable;
                    });
        }
    }

    /** Closes the idle connections that exceeded their keep-alive time. */
    public void closeExpired() {
        for (Deque<EndpointConnection> connections : idleConnections.values()) {
            connections.removeIf(
                    connection -> {
                        boolean isUsable = connection.isUsable(nowMillis(), Long.MAX_VALUE);
                        if (!isUsable) {
                            connection.close();
                        }
                        return !isUsable;
                    });
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }

    /**
     * Returns the syntax of responses.
     *
     * @return Decides whether responses are well-formed.
     */
    ResponseSyntax responseSyntax() {
        return responseSyntax;
    }

    /**
     * Reports data that belongs to no response.
     *
     * @param kind The kind of the data.
     * @param connection The connection that received it.
     * @param requestId The identifier of the latest request on the connection.
     */
    void reportUnsolicited(UnsolicitedData kind, EndpointConnection connection, String requestId) {
        kind.report(metrics, connection.endpoint().incarnation(), requestId);
    }

    /**
     * Runs an action after a delay, but not before the bytes that arrived during it were handled.
     *
     * @param delayMillis The delay in milliseconds.
     * @param action The action.
     */
    void delay(long delayMillis, Runnable action) {
        EventLoopLag.delayUntilInputIsHandled(reactor, delayMillis, action);
    }

    /**
     * Returns the current time.
     *
     * @return The time of the event loop's clock in milliseconds.
     */
    long nowMillis() {
        return reactor.currentTimeMillis();
    }
}
