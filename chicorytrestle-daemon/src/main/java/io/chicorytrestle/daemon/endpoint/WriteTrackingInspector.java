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
 * writes the request, all in one task of the event loop. A socket that is closed in between accepts
 * no more bytes, so that the request fails.
 */
final class WriteTrackingInspector extends HttpClient.JmxInspector {

    /** Supplies the current time in milliseconds. */
    private final LongSupplier clock;

    /** The socket that was connected last and whose request hasn't been written yet. */
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
     * Returns the inspector to install for the sockets of the same client.
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
                    "Cannot deny the write of a request without its socket");
        }
        socket.closeEx(new AsyncCloseException("Write permission denied"));
    }
}
