package io.chicorytrestle.gateway.fleet;

import io.activej.net.SimpleServer;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.gateway.link.Addresses;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Keeps the connections that other instances opened to this one. It is confined to the event loop.
 */
final class AcceptedConnections {

    /**
     * The time in milliseconds without a message after which a peer's connection is closed, several
     * intervals between heartbeats to one instance of a large fleet.
     */
    private static final long MAXIMUM_IDLE_MILLIS = 120_000;

    /** Accepts connections from other instances. */
    private final SimpleServer server;

    /** The open connections. */
    private final Set<FleetConnection> connections = new HashSet<>();

    /**
     * Creates the set without connections; it does not listen yet.
     *
     * @param reactor The event loop.
     * @param address The address to listen at, as IP number and port.
     * @param receiver Receives the decoded messages.
     */
    AcceptedConnections(
            NioReactor reactor,
            String address,
            BiConsumer<FleetConnection, FleetMessage> receiver) {
        server =
                SimpleServer.builder(
                                reactor,
                                socket ->
                                        connections.add(
                                                new FleetConnection(
                                                        socket,
                                                        reactor::currentTimeMillis,
                                                        receiver,
                                                        connections::remove)))
                        .withListenAddress(Addresses.parse(address))
                        .withSocketSettings(FleetConnections.SOCKET_SETTINGS)
                        .build();
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException If the address cannot be bound.
     */
    void listen() throws IOException {
        server.listen();
    }

    /**
     * Closes connections of peers that have probably replaced them after they had gone silent.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void closeIdle(long nowMillis) {
        for (FleetConnection connection : List.copyOf(connections)) {
            if (connection.isIdle(nowMillis, MAXIMUM_IDLE_MILLIS)) {
                connection.close(new IOException("Connection is idle"));
            }
        }
    }
}
