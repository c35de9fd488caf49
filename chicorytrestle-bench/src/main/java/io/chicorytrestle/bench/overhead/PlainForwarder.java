package io.chicorytrestle.bench.overhead;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Forwards every request to one engine and streams its response back, without any other work. */
final class PlainForwarder implements AutoCloseable {

    /** The prefix of the names of the threads. */
    static final String THREAD_NAME_PREFIX = "forwarder";

    /** The event loops that serve callers. */
    private final BenchEventLoops loops;

    /** The port that the forwarder listens on. */
    private final int port;

    /**
     * Starts a forwarder on a free port.
     *
     * @param threads The number of event loops that serve callers.
     * @param engineUrl The URL of the engine's generate call.
     * @throws IOException If no port can be bound.
     */
    PlainForwarder(int threads, String engineUrl) throws IOException {
        loops = new BenchEventLoops(THREAD_NAME_PREFIX, threads);
        List<HttpServer> workers = new ArrayList<>();
        for (Eventloop loop : loops.all()) {
            workers.add(BenchEventLoops.callOn(loop, () -> createServer(loop, engineUrl)));
        }
        Eventloop first = loops.all().get(0);
        PrimaryServer server = BenchEventLoops.callOn(first, () -> listen(first, workers));
        port = server.getBoundAddresses().get(0).getPort();
    }

    /**
     * Returns the port that the forwarder listens on.
     *
     * @return The port.
     */
    int port() {
        return port;
    }

    @Override
    public void close() {
        loops.close();
    }

    /**
     * Creates the server of one event loop with a client of its own.
     *
     * @param loop The event loop.
     * @param engineUrl The URL of the engine's generate call.
     * @return The server.
     */
    private static HttpServer createServer(Eventloop loop, String engineUrl) {
        HttpClient client = HttpClients.create(loop);
        return HttpServer.builder(loop, request -> forward(client, engineUrl, request)).build();
    }

    /**
     * Listens on a free port and distributes connections among the event loops.
     *
     * @param loop The event loop that accepts connections.
     * @param workers The servers of all event loops.
     * @return The listening server.
     * @throws IOException If no port can be bound.
     */
    private static PrimaryServer listen(Eventloop loop, List<HttpServer> workers)
            throws IOException {
        PrimaryServer server =
                PrimaryServer.builder(loop, workers)
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .build();
        server.listen();
        return server;
    }

    /**
     * Forwards a request.
     *
     * @param client The client of the event loop.
     * @param engineUrl The URL of the engine's generate call.
     * @param request The request.
     * @return The response for the caller.
     */
    private static Promise<HttpResponse> forward(
            HttpClient client, String engineUrl, HttpRequest request) {
        return request.loadBody()
                .then(
                        body ->
                                client.request(
                                        HttpRequest.post(engineUrl).withBody(body.slice()).build()))
                .then(PlainForwarder::relayResponse);
    }

    /**
     * Streams a response back as it arrives.
     *
     * @param response The engine's response.
     * @return The response for the caller.
     */
    private static Promise<HttpResponse> relayResponse(HttpResponse response) {
        ChannelSupplier<ByteBuf> body = response.takeBodyStream();
        return HttpResponse.ofCode(response.getCode()).withBodyStream(body).toPromise();
    }
}
