package io.chicorytrestle.gateway.fleet;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.gateway.link.Addresses;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Keeps the connections that this instance made to others. It is confined to the event loop. */
final class FleetConnections {

    /** The options of a connection. */
    static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /** The time in milliseconds within which a connection must stand. */
    private static final long CONNECT_TIMEOUT_MILLIS = 600;

    /** The event loop. */
    private final NioReactor reactor;

    /** Takes messages. */
    private final BiConsumer<FleetConnection, FleetMessage> receiver;

    /** The connections by address. */
    private final Map<String, FleetConnection> connections = new HashMap<>();

    /** The addresses to which a connection is being made. */
    private final Set<String> connecting = new HashSet<>();

    /**
     * Creates new links.
     *
     * @param reactor The event loop.
     * @param receiver Takes messages.
     */
    FleetConnections(NioReactor reactor, BiConsumer<FleetConnection, FleetMessage> receiver) {
        this.reactor = reactor;
        this.receiver = receiver;
    }

    /**
     * Sends a message, after connecting if need be. A message is dropped while a connection is
     * being made.
     *
     * @param address The address of the instance.
     * @param message The encoded message.
     * @param isFresh Whether the instance gave a sign of life lately.
     * @param nowMillis The present time in milliseconds.
     */
    void send(String address, byte[] message, boolean isFresh, long nowMillis) {
        FleetConnection link = connections.get(address);
        if (link != null && (link.isWriteTimedOut(nowMillis) || !isFresh)) {
            link.close(new IOException("Peer is silent"));
            link = null;
        }
        if (link != null) {
            link.send(message, nowMillis);
        } else if (connecting.add(address)) {
            TcpSocket.connect(
                            reactor,
                            Addresses.parse(address),
                            Duration.ofMillis(CONNECT_TIMEOUT_MILLIS),
                            SOCKET_SETTINGS)
                    .whenComplete(
                            (socket, failure) -> {
                                connecting.remove(address);
                                if (failure == null) {
                                    connected(address, socket, message);
                                }
                            });
        }
    }

    /**
     * Takes a new connection.
     *
     * @param address The address of the instance.
     * @param socket The socket.
     * @param message The message to send first.
     */
    private void connected(String address, TcpSocket socket, byte[] message) {
        FleetConnection made =
                new FleetConnection(
                        socket, receiver, closed -> connections.remove(address, closed));
        connections.put(address, made);
        made.send(message, reactor.currentTimeMillis());
    }
}
