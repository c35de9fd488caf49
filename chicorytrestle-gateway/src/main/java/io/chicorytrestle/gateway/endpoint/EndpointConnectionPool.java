package io.chicorytrestle.gateway.endpoint;

import com.codahale.metrics.Counter;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.link.Addresses;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Keeps connections to endpoints open between requests. It is confined to the event loop. */
public final class EndpointConnectionPool {

    /**
     * The time in milliseconds within which a connection must stand: a lost opening packet is sent
     * again after a second, by when another endpoint can have answered.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 700;

    /**
     * The time in milliseconds for which an idle connection is kept if the endpoint states none.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 30_000;

    /** The options of a connection. */
    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).withKeepAlive(true).build();

    /** The event loop. */
    private final NioReactor reactor;

    /** Reads heads. */
    private final HeaderDialect dialect;

    /** Counts new connections. */
    private final Counter openedConnections;

    /** The idle connections by incarnation, the one used last first. */
    private final Map<String, Deque<EndpointConnection>> idleConnections = new HashMap<>();

    /**
     * Creates a new pool.
     *
     * @param reactor The event loop.
     * @param dialect Reads heads.
     * @param connections Counts new connections.
     */
    public EndpointConnectionPool(NioReactor reactor, HeaderDialect dialect, Counter connections) {
        this.reactor = reactor;
        this.dialect = dialect;
        this.openedConnections = connections;
    }

    /**
     * Returns a connection to an endpoint, an open one if there is any.
     *
     * @param endpoint The endpoint.
     * @param maximumIdleMillis The longest time for which it may have been idle, in milliseconds.
     * @return The connection, or why none could be made; nothing was sent in that case.
     */
    public Promise<EndpointConnection> acquire(ServingEndpoint endpoint, long maximumIdleMillis) {
        Deque<EndpointConnection> links = idleConnections.get(endpoint.incarnation());
        if (links != null) {
            EndpointConnection link = links.peekFirst();
            if (link != null && link.isUsable(nowMillis(), maximumIdleMillis)) {
                links.removeFirst();
                return Promise.of(link);
            }
        }
        openedConnections.inc();
        return TcpSocket.connect(
                        reactor,
                        Addresses.parse(endpoint.address()),
                        Duration.ofMillis(CONNECT_TIMEOUT_MILLIS),
                        SOCKET_SETTINGS)
                .map(
                        socket ->
                                new EndpointConnection(
                                        endpoint,
                                        dialect,
                                        this,
                                        socket,
                                        DEFAULT_KEEP_ALIVE_MILLIS));
    }

    /**
     * Takes a connection back after a complete answer.
     *
     * @param link The connection.
     */
    void release(EndpointConnection link) {
        idleConnections
                .computeIfAbsent(link.endpoint().incarnation(), ignored -> new ArrayDeque<>())
                .addFirst(link);
    }

    /**
     * Forgets a connection that broke.
     *
     * @param link The connection.
     */
    void remove(EndpointConnection link) {
        Deque<EndpointConnection> links = idleConnections.get(link.endpoint().incarnation());
        if (links != null) {
            links.remove(link);
        }
    }

    /**
     * Closes the idle connections of an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void closeIdle(String incarnation) {
        Deque<EndpointConnection> links = idleConnections.remove(incarnation);
        if (links != null) {
            links.forEach(EndpointConnection::close);
        }
    }

    /**
     * Closes the idle connections to zones that are out of reach, since they may stay silent.
     *
     * @param zones The zones.
     */
    public void closeIdleInZones(Set<String> zones) {
        for (Deque<EndpointConnection> links : idleConnections.values()) {
            links.removeIf(
                    link -> {
                        boolean isLost = zones.contains(link.endpoint().zone());
                        if (isLost) {
                            link.close();
                        }
                        return isLost;
                    });
        }
    }

    /** Closes the idle connections that have become too old to be used. */
    public void closeExpired() {
        for (Deque<EndpointConnection> links : idleConnections.values()) {
            links.removeIf(
                    link -> {
                        boolean usable = link.isUsable(nowMillis(), Long.MAX_VALUE);
                        if (!usable) {
                            link.close();
                        }
                        return !usable;
                    });
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }

    /**
     * Returns the present time.
     *
     * @return The present time in milliseconds.
     */
    long nowMillis() {
        return reactor.currentTimeMillis();
    }
}
