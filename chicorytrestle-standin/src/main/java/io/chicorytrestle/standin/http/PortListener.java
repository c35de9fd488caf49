package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Serves one port, which it keeps when it is closed and opened again. */
final class PortListener {

    /** How long an open answer may hold up the closing of its port. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(10);

    /** The event loop. */
    private final NioReactor reactor;

    /** Answers the requests. */
    private final AsyncServlet servlet;

    /** The address to listen on. */
    private InetSocketAddress address;

    /** The open server, or {@code null} while connections are refused. */
    private @Nullable HttpServer server;

    /**
     * Creates a new, closed listener.
     *
     * @param reactor The event loop.
     * @param servlet Answers the requests.
     * @param address The address to listen on; port zero means a free one.
     */
    PortListener(NioReactor reactor, AsyncServlet servlet, InetSocketAddress address) {
        this.reactor = reactor;
        this.servlet = servlet;
        this.address = address;
    }

    /**
     * Accepts connections, unless it does so already.
     *
     * @throws IOException If the port cannot be had.
     */
    void open() throws IOException {
        if (server != null) {
            return;
        }
        HttpServer opened =
                HttpServer.builder(reactor, servlet)
                        .withListenAddress(address)
                        .withMaxBodySize(JsonResponses.MAXIMUM_BODY_BYTES)
                        .withServeTimeoutShutdown(SHUTDOWN_TIMEOUT)
                        .build();
        opened.listen();
        address = opened.getBoundAddresses().get(0);
        server = opened;
    }

    /** Refuses connections and closes those that are open. */
    void close() {
        if (server != null) {
            server.close();
            server = null;
        }
    }

    /**
     * Returns the port.
     *
     * @return The port, which is only known once the listener was open.
     */
    int port() {
        return address.getPort();
    }
}
