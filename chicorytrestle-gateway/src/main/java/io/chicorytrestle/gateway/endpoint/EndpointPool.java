package io.chicorytrestle.gateway.endpoint;

import com.codahale.metrics.Counter;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.RequestDialect;
import io.chicorytrestle.gateway.link.Addresses;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Keeps connections to endpoints open between requests. It is confined to the event loop. */
public final class EndpointPool {

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
    private final RequestDialect dialect;

    /** Counts new connections. */
    private final Counter connections;

    /** The idle connections by incarnation, the one used last first. */
    private final Map<String, Deque<EndpointLink>> idle = new HashMap<>();

    /**
     * Creates a new pool.
     *
     * @param reactor The event loop.
     * @param dialect Reads heads.
     * @param connections Counts new connections.
     */
    public EndpointPool(NioReactor reactor, RequestDialect dialect, Counter connections) {
        this.reactor = reactor;
        this.dialect = dialect;
        this.connections = connections;
    }

    /**
     * Returns a connection to an endpoint, an open one if there is any.
     *
     * @param endpoint The endpoint.
     * @param maximumIdleMillis The longest time for which it may have been idle, in milliseconds.
     * @return The connection, or why none could be made; nothing was sent in that case.
     */
    public Promise<EndpointLink> acquire(ServingEndpoint endpoint, long maximumIdleMillis) {
        Deque<EndpointLink> links = idle.get(endpoint.incarnation());
        if (links != null) {
            EndpointLink link = links.peekFirst();
            if (link != null && link.isUsable(nowMillis(), maximumIdleMillis)) {
                links.removeFirst();
                return Promise.of(link);
            }
        }
        connections.inc();
        return TcpSocket.connect(
                        reactor,
                        Addresses.parse(endpoint.address()),
                        Duration.ofMillis(CONNECT_TIMEOUT_MILLIS),
                        SOCKET_SETTINGS)
                .map(
                        socket ->
                                new EndpointLink(
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
    void giveBack(EndpointLink link) {
        idle.computeIfAbsent(link.endpoint().incarnation(), ignored -> new ArrayDeque<>())
                .addFirst(link);
    }

    /**
     * Forgets a connection that broke.
     *
     * @param link The connection.
     */
    void drop(EndpointLink link) {
        Deque<EndpointLink> links = idle.get(link.endpoint().incarnation());
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
        Deque<EndpointLink> links = idle.remove(incarnation);
        if (links != null) {
            links.forEach(EndpointLink::close);
        }
    }

    /**
     * Closes the idle connections to zones that are out of reach, since they may stay silent.
     *
     * @param zones The zones.
     */
    public void closeIdleIn(Set<String> zones) {
        for (Deque<EndpointLink> links : idle.values()) {
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
    public void sweep() {
        for (Deque<EndpointLink> links : idle.values()) {
            links.removeIf(
                    link -> {
                        boolean usable = link.isUsable(nowMillis(), Long.MAX_VALUE);
                        if (!usable) {
                            link.close();
                        }
                        return !usable;
                    });
        }
        idle.values().removeIf(Deque::isEmpty);
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
