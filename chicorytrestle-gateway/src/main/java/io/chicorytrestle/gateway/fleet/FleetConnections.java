package io.chicorytrestle.gateway.fleet;

import com.google.common.flogger.FluentLogger;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.gateway.link.Addresses;
import io.chicorytrestle.gateway.operations.LogFields;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Keeps the connections that this instance opened to others. It is confined to the event loop. */
final class FleetConnections {

    /** Logs connections that have gone silent. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The options of a socket. */
    static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /** The time-out for connecting in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 600;

    /** The event loop. */
    private final NioReactor reactor;

    /** Receives the decoded messages. */
    private final BiConsumer<FleetConnection, FleetMessage> receiver;

    /** The open connections by address. */
    private final Map<String, FleetConnection> connections = new HashMap<>();

    /** The addresses to which a connection is being opened. */
    private final Set<String> connecting = new HashSet<>();

    /**
     * Creates the set without connections.
     *
     * @param reactor The event loop.
     * @param receiver Receives the decoded messages.
     */
    FleetConnections(NioReactor reactor, BiConsumer<FleetConnection, FleetMessage> receiver) {
        this.reactor = reactor;
        this.receiver = receiver;
    }

    /**
     * Sends a message and connects first if necessary. A connection on which writes time out or
     * whose peer is unreachable is replaced. A message is dropped while another one waits for a
     * connection.
     *
     * @param address The address of the instance.
     * @param message The encoded message.
     * @param isReachable Whether the instance sent a heartbeat recently.
     * @param nowMillis The current time in milliseconds.
     */
    void send(String address, byte[] message, boolean isReachable, long nowMillis) {
        FleetConnection connection = connections.get(address);
        if (connection != null && (connection.isWriteTimedOut(nowMillis) || !isReachable)) {
            connection.close(new IOException("Write timed out or peer is unreachable"));
            connection = null;
        }
        if (connection != null) {
            connection.send(message, nowMillis);
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
     * Closes the connections that have gone silent, so that the next message opens new ones.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void closeSilent(long nowMillis) {
        for (Map.Entry<String, FleetConnection> entry : Map.copyOf(connections).entrySet()) {
            if (entry.getValue().isSilent(nowMillis)) {
                LOGGER.atInfo()
                        .with(LogFields.ADDRESS, entry.getKey())
                        .log("peer_connection_silent");
                entry.getValue().close(new IOException("Connection has gone silent"));
            }
        }
    }

    /**
     * Registers a new connection and sends the message that waited for it.
     *
     * @param address The address of the instance.
     * @param socket The connected socket.
     * @param message The message to send first.
     */
    private void connected(String address, TcpSocket socket, byte[] message) {
        FleetConnection connection =
                new FleetConnection(
                        socket,
                        reactor::currentTimeMillis,
                        receiver,
                        closed -> connections.remove(address, closed));
        connections.put(address, connection);
        connection.send(message, reactor.currentTimeMillis());
    }
}
