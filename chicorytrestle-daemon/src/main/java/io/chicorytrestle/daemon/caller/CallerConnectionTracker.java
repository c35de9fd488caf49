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

/** Bounds the time of each caller's connection at one event loop, to which it is confined. */
final class CallerConnectionTracker extends HttpServer.JmxInspector {

    /** The milliseconds between two looks for slow callers. */
    private static final int SWEEP_PERIOD_MILLIS = 100;

    /** The event loop. */
    private final Eventloop loop;

    /** Tells the present time. */
    private final MonotonicClock clock;

    /** The time limits. */
    private final Settings.Callers settings;

    /** The open connections. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The socket that was accepted last and whose connection is not known yet. */
    private @Nullable TcpSocket acceptedSocket;

    /**
     * Creates new connections.
     *
     * @param loop The event loop.
     * @param clock Tells the present time.
     * @param settings The time limits.
     */
    CallerConnectionTracker(Eventloop loop, MonotonicClock clock, Settings.Callers settings) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
    }

    /**
     * Returns the inspector of the server's sockets.
     *
     * @return The inspector of the server's sockets.
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
     * Returns what follows a request's connection.
     *
     * @param request The request.
     * @return The connection.
     */
    static CallerConnection connectionOf(HttpRequest request) {
        return (CallerConnection) request.getConnection().getUserData();
    }

    /** Starts to look for slow callers from time to time. */
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
