package io.chicorytrestle.daemon.caller;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.settings.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Serves callers at one port from several event loops. */
public final class CallerServer {

    /** The event loop that accepts connections. */
    private final Eventloop acceptorLoop;

    /** Accepts connections and spreads them over the event loops. */
    private final PrimaryServer primaryServer;

    /** The servers at the event loops. */
    private final List<HttpServer> workerServers;

    /** The TCP port that is listened at. */
    private final int port;

    /**
     * Creates a new server.
     *
     * @param acceptor The event loop that accepts connections.
     * @param primary Accepts connections and spreads them over the event loops.
     * @param workers The servers at the event loops.
     */
    private CallerServer(Eventloop acceptor, PrimaryServer primary, List<HttpServer> workers) {
        this.acceptorLoop = acceptor;
        this.primaryServer = primary;
        this.workerServers = workers;
        port = primary.getBoundAddresses().get(0).getPort();
    }

    /**
     * Starts to serve callers.
     *
     * @param acceptor The event loop that accepts connections.
     * @param loops The event loops that serve.
     * @param services What the server works with.
     * @return The running server.
     * @throws IOException If the port cannot be listened at.
     */
    public static CallerServer start(
            Eventloop acceptor, EventLoopPool loops, CallerDependencies services)
            throws IOException {
        List<HttpServer> workers = new ArrayList<>();
        for (Eventloop loop : loops.all()) {
            workers.add(createWorkerServer(loop, services));
        }
        Settings.Callers settings = services.settings().callers();
        PrimaryServer primary =
                PrimaryServer.builder(acceptor, workers)
                        .withListenAddress(new InetSocketAddress(settings.host(), settings.port()))
                        .build();
        try {
            acceptor.submit(primary::listen).get();
        } catch (ExecutionException exception) {
            throw new IOException(
                    "Cannot listen for callers at: " + settings.host() + ":" + settings.port(),
                    exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("Cannot listen for callers while interrupted", exception);
        }
        return new CallerServer(acceptor, primary, List.copyOf(workers));
    }

    /**
     * Creates the server at one event loop.
     *
     * @param loop The event loop.
     * @param services What the server works with.
     * @return The server.
     */
    private static HttpServer createWorkerServer(Eventloop loop, CallerDependencies services) {
        Settings.Callers settings = services.settings().callers();
        CallerConnectionTracker connections =
                new CallerConnectionTracker(loop, services.clock(), settings);
        HttpServer server =
                HttpServer.builder(loop, new CallerServlet(loop, services))
                        .withInspector(connections)
                        .withSocketInspector(connections.socketInspector())
                        .withKeepAliveTimeout(Duration.ofMillis(settings.idleTimeoutMillis()))
                        .withSocketSettings(
                                SocketSettings.builder()
                                        .withTcpNoDelay(true)
                                        .withImplWriteTimeout(
                                                Duration.ofMillis(settings.writeTimeoutMillis()))
                                        .build())
                        .build();
        loop.execute(connections::closeExpiredConnections);
        return server;
    }

    /**
     * Returns the port that is listened at.
     *
     * @return The TCP port.
     */
    public int port() {
        return port;
    }

    /**
     * Stops to accept connections. Those that are open stay open.
     *
     * @return Completed when no connection is accepted any more.
     */
    public CompletableFuture<Void> stopAccepting() {
        return acceptorLoop.submit(
                () -> Promise.complete().then(ignored -> primaryServer.close()).toVoid());
    }

    /** Closes connections as soon as they are idle. */
    public void closeIdleConnections() {
        workerServers.forEach(worker -> worker.getReactor().execute(worker::close));
    }
}
