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

/** Passes every request on to one engine and its answer back, and does nothing else. */
final class PlainForwarder implements AutoCloseable {

    /** The beginning of the threads' names. */
    static final String THREAD_NAME_PREFIX = "forwarder";

    /** The event loops. */
    private final BenchEventLoops loops;

    /** The port to call. */
    private final int port;

    /**
     * Starts a forwarder.
     *
     * @param threads The event loops that serve callers.
     * @param engine The address of the engine's call.
     * @throws IOException If no port can be had.
     */
    PlainForwarder(int threads, String engine) throws IOException {
        loops = new BenchEventLoops(THREAD_NAME_PREFIX, threads);
        List<HttpServer> workers = new ArrayList<>();
        for (Eventloop loop : loops.all()) {
            workers.add(BenchEventLoops.callOn(loop, () -> createServer(loop, engine)));
        }
        Eventloop first = loops.all().get(0);
        PrimaryServer server = BenchEventLoops.callOn(first, () -> listen(first, workers));
        port = server.getBoundAddresses().get(0).getPort();
    }

    /**
     * Returns the port to call.
     *
     * @return The port to call.
     */
    int port() {
        return port;
    }

    @Override
    public void close() {
        loops.close();
    }

    /**
     * Creates the server of one event loop.
     *
     * @param loop The event loop.
     * @param engine The address of the engine's call.
     * @return The server.
     */
    private static HttpServer createServer(Eventloop loop, String engine) {
        HttpClient client = HttpClients.create(loop);
        return HttpServer.builder(loop, request -> forward(client, engine, request)).build();
    }

    /**
     * Starts to accept connections for all event loops.
     *
     * @param loop The event loop that accepts.
     * @param workers The servers.
     * @return The listening server.
     * @throws IOException If no port can be had.
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
     * Passes a request on.
     *
     * @param client The client of the event loop.
     * @param engine The address of the engine's call.
     * @param request The request.
     * @return The engine's answer.
     */
    private static Promise<HttpResponse> forward(
            HttpClient client, String engine, HttpRequest request) {
        return request.loadBody()
                .then(
                        body ->
                                client.request(
                                        HttpRequest.post(engine).withBody(body.slice()).build()))
                .then(PlainForwarder::relayResponse);
    }

    /**
     * Passes an answer back as it arrives.
     *
     * @param response The engine's answer.
     * @return The answer for the caller.
     */
    private static Promise<HttpResponse> relayResponse(HttpResponse response) {
        ChannelSupplier<ByteBuf> body = response.takeBodyStream();
        return HttpResponse.ofCode(response.getCode()).withBodyStream(body).toPromise();
    }
}
