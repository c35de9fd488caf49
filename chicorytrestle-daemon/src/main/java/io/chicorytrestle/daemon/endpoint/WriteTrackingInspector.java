package io.chicorytrestle.daemon.endpoint;

import io.activej.async.exception.AsyncCloseException;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.net.socket.tcp.TcpSocket;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Reports the progress of each connection to the {@link WriteTracker} of its request, and closes
 * the connection if the write permission is denied.
 *
 * <p>The client passes a new socket to the socket inspector, then calls {@link #onConnect} and then
 * writes the request, all in one task of the event loop. If {@link #onConnect} closes the socket,
 * it accepts no more bytes, so that the request fails without being sent.
 */
final class WriteTrackingInspector extends HttpClient.JmxInspector {

    /** Supplies the current time in milliseconds. */
    private final LongSupplier clock;

    /** The socket that was connected last, or {@code null} if its request was already handled. */
    private @Nullable TcpSocket connectedSocket;

    /**
     * Creates an inspector.
     *
     * @param clock Supplies the current time in milliseconds.
     */
    WriteTrackingInspector(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Returns the socket inspector to install in the same client, which remembers the latest
     * socket.
     *
     * @return The socket inspector.
     */
    TcpSocket.Inspector socketInspector() {
        return new TcpSocket.JmxInspector() {
            @Override
            public void onConnect(TcpSocket socket) {
                connectedSocket = socket;
            }
        };
    }

    @Override
    public void onResolve(HttpRequest request, DnsResponse response) {
        request.getAttachment(WriteTracker.class).onResolved();
    }

    @Override
    public void onConnecting(HttpRequest request, InetSocketAddress address) {
        request.getAttachment(WriteTracker.class).onConnecting();
    }

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
        TcpSocket socket = connectedSocket;
        connectedSocket = null;
        boolean mayWrite = request.getAttachment(WriteTracker.class).onConnected(clock.getAsLong());
        if (mayWrite) {
            return;
        }
        if (socket == null) {
            throw new IllegalStateException(
                    "Cannot close connection of request without write permission: unknown socket");
        }
        socket.closeEx(
                new AsyncCloseException(
                        "Connection closed before the write: request has no write permission"));
    }
}
