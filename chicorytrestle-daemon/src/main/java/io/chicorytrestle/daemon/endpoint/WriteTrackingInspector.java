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
 * Tells each {@link WriteTracker} how far its request came, and holds requests back whose attempt
 * forbids to write.
 *
 * <p>The client hands a new socket to the socket inspector, then calls {@link #onConnect} and then
 * writes the request, all in one turn of the event loop. A socket that is closed in between takes
 * no byte any more, so that the request fails.
 */
final class WriteTrackingInspector extends HttpClient.JmxInspector {

    /** Tells the present time in milliseconds. */
    private final LongSupplier clock;

    /** The socket that was connected last and whose request is not written yet. */
    private @Nullable TcpSocket connectedSocket;

    /**
     * Creates a new inspector.
     *
     * @param clock Tells the present time in milliseconds.
     */
    WriteTrackingInspector(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Returns the inspector of the same client's sockets.
     *
     * @return The inspector of the same client's sockets.
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
            throw new IllegalStateException("Cannot hold request back without its socket");
        }
        socket.closeEx(new AsyncCloseException("Cannot write any more"));
    }
}
