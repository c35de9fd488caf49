package io.chicorytrestle.daemon.caller;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Enforces the request and idle time-outs on the callers' connections of one event loop, to which
 * it is confined.
 */
final class CallerConnectionTracker extends HttpServer.JmxInspector {

    /** The period of the check for expired connections. */
    private static final int SWEEP_PERIOD_MILLIS = 100;

    /** The event loop of the connections. */
    private final Eventloop loop;

    /** Supplies the current time. */
    private final MonotonicClock clock;

    /** The settings with the time-outs. */
    private final Settings.Callers settings;

    /** The open connections. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /**
     * The socket that was accepted last and isn't assigned to a connection yet, since the server
     * reports socket and connection in separate callbacks.
     */
    private @Nullable TcpSocket acceptedSocket;

    /**
     * Creates a tracker. The checks start with {@link #closeExpiredConnections}.
     *
     * @param loop The event loop of the connections.
     * @param clock Supplies the current time.
     * @param settings The settings with the time-outs.
     */
    CallerConnectionTracker(Eventloop loop, MonotonicClock clock, Settings.Callers settings) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
    }

    /**
     * Returns the inspector to install for the server's sockets, which passes each accepted socket
     * to this tracker.
     *
     * @return The socket inspector.
     */
    TcpSocket.Inspector socketInspector() {
        return new TcpSocket.JmxInspector() {
            @Override
            public void onConnect(TcpSocket socket) {
                acceptedSocket = socket;
            }
        };
    }

    /**
     * Returns the tracked connection of a request.
     *
     * @param request The request.
     * @return The connection.
     */
    static CallerConnection connectionOf(HttpRequest request) {
        return (CallerConnection) request.getConnection().getUserData();
    }

    /** Closes the connections whose deadline has passed and schedules the next check. */
    void closeExpiredConnections() {
        long nowMillis = clock.nowMillis();
        List.copyOf(connections).forEach(connection -> connection.closeIfExpired(nowMillis));
        loop.delayBackground(SWEEP_PERIOD_MILLIS, this::closeExpiredConnections);
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        TcpSocket socket = acceptedSocket;
        acceptedSocket = null;
        if (socket != null) {
            CallerConnection caller =
                    new CallerConnection(
                            socket, clock.nowMillis() + settings.requestTimeoutMillis());
            connection.setUserData(caller);
            connections.add(caller);
        }
    }

    @Override
    public void onHttpRequest(HttpRequest request) {
        connectionOf(request).setDeadline(clock.nowMillis() + settings.requestTimeoutMillis());
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
        CallerConnection caller = (CallerConnection) connection.getUserData();
        caller.onResponseSent();
        caller.setDeadline(clock.nowMillis() + settings.idleTimeoutMillis());
    }

    @Override
    public void onDisconnect(HttpServerConnection connection) {
        CallerConnection caller = (CallerConnection) connection.getUserData();
        connections.remove(caller);
        caller.onDisconnect();
    }
}
