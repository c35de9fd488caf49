package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Serves HTTP on one port and binds the same port again after it was closed and reopened. */
final class PortListener {

    /** How long an open response may delay the closing of its port. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(10);

    /** The event loop. */
    private final NioReactor reactor;

    /** Handles the requests. */
    private final AsyncServlet servlet;

    /** The address to bind; it holds the actual port after the first opening. */
    private InetSocketAddress address;

    /** The open server, or {@code null} while connections are refused. */
    private @Nullable HttpServer server;

    /**
     * Creates a new, closed listener.
     *
     * @param reactor The event loop.
     * @param servlet Handles the requests.
     * @param address The address to listen on; port zero means a free one.
     */
    PortListener(NioReactor reactor, AsyncServlet servlet, InetSocketAddress address) {
        this.reactor = reactor;
        this.servlet = servlet;
        this.address = address;
    }

    /**
     * Binds the port, unless it is bound already.
     *
     * @throws IOException If the port cannot be bound.
     */
    void open() throws IOException {
        if (server != null) {
            return;
        }
        HttpServer newServer =
                HttpServer.builder(reactor, servlet)
                        .withListenAddress(address)
                        .withMaxBodySize(JsonResponses.MAXIMUM_BODY_BYTES)
                        .withServeTimeoutShutdown(SHUTDOWN_TIMEOUT)
                        .build();
        newServer.listen();
        address = newServer.getBoundAddresses().get(0);
        server = newServer;
    }

    /** Releases the port and closes the open connections. */
    void close() {
        if (server != null) {
            server.close();
            server = null;
        }
    }

    /**
     * Returns the bound port.
     *
     * @return The port; zero if a free one was asked for and the listener was never open.
     */
    int port() {
        return address.getPort();
    }
}
