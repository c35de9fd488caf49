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

/** Serves callers at one port with one HTTP server for each event loop. */
public final class CallerServer {

    /** The event loop that accepts connections. */
    private final Eventloop acceptorLoop;

    /** Accepts connections and distributes them over the worker servers. */
    private final PrimaryServer primaryServer;

    /** The servers that handle the connections, one for each event loop. */
    private final List<HttpServer> workerServers;

    /** The TCP port that the server listens on. */
    private final int port;

    /**
     * Creates a server that is already listening.
     *
     * @param acceptorLoop The event loop that accepts connections.
     * @param primaryServer Accepts connections and distributes them over the worker servers.
     * @param workerServers The servers that handle the connections.
     */
    private CallerServer(
            Eventloop acceptorLoop, PrimaryServer primaryServer, List<HttpServer> workerServers) {
        this.acceptorLoop = acceptorLoop;
        this.primaryServer = primaryServer;
        this.workerServers = workerServers;
        port = primaryServer.getBoundAddresses().get(0).getPort();
    }

    /**
     * Starts to listen for callers.
     *
     * @param acceptorLoop The event loop that accepts connections.
     * @param loops The event loops that handle connections.
     * @param dependencies The collaborators of the server.
     * @return The running server.
     * @throws IOException If the server cannot listen on the port.
     */
    public static CallerServer start(
            Eventloop acceptorLoop, EventLoopPool loops, CallerDependencies dependencies)
            throws IOException {
        List<HttpServer> workerServers = new ArrayList<>();
        for (Eventloop loop : loops.all()) {
            workerServers.add(createWorkerServer(loop, dependencies));
        }
        Settings.Callers settings = dependencies.settings().callers();
        PrimaryServer primaryServer =
                PrimaryServer.builder(acceptorLoop, workerServers)
                        .withListenAddress(new InetSocketAddress(settings.host(), settings.port()))
                        .build();
        try {
            acceptorLoop.submit(primaryServer::listen).get();
        } catch (ExecutionException exception) {
            throw new IOException(
                    "Cannot listen for callers at: " + settings.host() + ":" + settings.port(),
                    exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("Cannot listen for callers while interrupted", exception);
        }
        return new CallerServer(acceptorLoop, primaryServer, List.copyOf(workerServers));
    }

    /**
     * Creates the server at one event loop.
     *
     * @param loop The event loop.
     * @param dependencies The collaborators of the server.
     * @return The server.
     */
    private static HttpServer createWorkerServer(Eventloop loop, CallerDependencies dependencies) {
        Settings.Callers settings = dependencies.settings().callers();
        CallerConnectionTracker connections =
                new CallerConnectionTracker(loop, dependencies.clock(), settings);
        HttpServer server =
                HttpServer.builder(loop, new CallerServlet(loop, dependencies))
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
     * Returns the port that the server listens on.
     *
     * @return The TCP port.
     */
    public int port() {
        return port;
    }

    /**
     * Stops accepting connections. Open connections stay open.
     *
     * @return Completed when no more connections are accepted.
     */
    public CompletableFuture<Void> stopAccepting() {
        return acceptorLoop.submit(
                () -> Promise.complete().then(ignored -> primaryServer.close()).toVoid());
    }

    /** Closes each connection as soon as it is idle. */
    public void closeIdleConnections() {
        workerServers.forEach(worker -> worker.getReactor().execute(worker::close));
    }
}
