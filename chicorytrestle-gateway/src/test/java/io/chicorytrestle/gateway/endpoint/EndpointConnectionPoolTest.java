package io.chicorytrestle.gateway.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import com.codahale.metrics.Counter;
import io.activej.eventloop.Eventloop;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.gateway.dialect.EndpointHeaders;
import io.chicorytrestle.gateway.dialect.GatewayRequest;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.chicorytrestle.gateway.link.BodyFraming;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class EndpointConnectionPoolTest {

    /** A time in milliseconds by which the time-out for connecting has passed. */
    private static final long LONG_WORK_MILLIS = 900;

    /** A time in milliseconds in which the event loop handles what has arrived. */
    private static final long CLOSE_MILLIS = 200;

    private final Eventloop reactor = Eventloop.builder().withCurrentThread().build();

    private final GatewayMetrics metrics = new GatewayMetrics();

    private final Counter openedConnections = metrics.counter("endpoint_connections_total");

    private final EndpointConnectionPool pool =
            new EndpointConnectionPool(reactor, new UnusedDialect(), metrics);

    /** The connection is established at once, and the event loop is busy until the time-out. */
    @Test
    void testAcquireWhenTheEventLoopIsBusyUntilTheTimeout() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            List<Object> outcomes = acquireAndWork(server);

            assertThat(outcomes.get(0), instanceOf(EndpointConnection.class));
            assertThat(openedConnections.getCount(), equalTo(1L));
        }
    }

    @Test
    void testAcquireWhenAConnectionWasGivenBack() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            EndpointConnection first = (EndpointConnection) acquireAndWork(server).get(0);
            pool.giveBack(first);

            assertThat(acquireAndWork(server).get(0), equalTo(first));
            assertThat(openedConnections.getCount(), equalTo(1L));
        }
    }

    /** Guards against a request on a connection that its endpoint has closed. */
    @Test
    void testAcquireWhenAConnectionThatWasGivenBackWasClosedByItsEndpoint() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            EndpointConnection first = (EndpointConnection) acquireAndWork(server).get(0);
            pool.giveBack(first);
            server.accept().close();
            runEventLoop(CLOSE_MILLIS);

            assertThat(acquireAndWork(server).get(0) == first, equalTo(false));
        }
    }

    private void runEventLoop(long millis) {
        reactor.keepAlive(true);
        reactor.delayBackground(
                millis,
                () -> {
                    reactor.keepAlive(false);
                    reactor.breakEventloop();
                });
        reactor.run();
    }

    /** Guards against a request on a connection that is not read, since its caller was slow. */
    @Test
    void testAcquireWhenReadingWasPausedAtTheEndOfTheResponse() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            EndpointConnection first = (EndpointConnection) acquireAndWork(server).get(0);
            reactor.execute(
                    () ->
                            first.send(
                                    new DefaultFullHttpRequest(
                                            HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                    "r1",
                                    new PausingListener(first)));
            try (Socket socket = server.accept()) {
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                runEventLoop(CLOSE_MILLIS);
            }

            assertThat(acquireAndWork(server).get(0) == first, equalTo(false));
        }
    }

    /** Acquires a connection, works for a long time, and runs the event loop until it is idle. */
    private List<Object> acquireAndWork(ServerSocket server) {
        ServingEndpoint endpoint =
                new ServingEndpoint(
                        "e", "s", "127.0.0.1:" + server.getLocalPort(), "a", 4, false, 1);
        List<Object> outcomes = new ArrayList<>();
        reactor.keepAlive(true);
        reactor.execute(
                () -> {
                    pool.acquire(endpoint, Long.MAX_VALUE)
                            .whenComplete(
                                    (connection, failure) -> {
                                        outcomes.add(failure == null ? connection : failure);
                                        reactor.keepAlive(false);
                                        reactor.breakEventloop();
                                    });
                    long endNanos =
                            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONG_WORK_MILLIS);
                    while (System.nanoTime() - endNanos < 0) {
                        Thread.onSpinWait();
                    }
                });
        reactor.run();
        return outcomes;
    }

    /** Reads no header, since no response is received. */
    private static final class UnusedDialect implements HeaderDialect {

        @Override
        public GatewayRequest read(HttpRequest head) {
            throw new UnsupportedOperationException("No request is read");
        }

        @Override
        public void rewrite(HttpHeaders headers, EndpointHeaders values) {
            throw new UnsupportedOperationException("No request is written");
        }

        @Override
        public ResponseMetadata read(HttpResponse head) {
            return new ResponseMetadata(
                    Optional.of("r1"),
                    true,
                    false,
                    false,
                    OptionalLong.empty(),
                    OptionalInt.empty(),
                    OptionalLong.empty());
        }

        @Override
        public List<String> singleResponseHeaders() {
            return List.of();
        }
    }

    /** Pauses the connection at the first part of the body. */
    private record PausingListener(EndpointConnection connection) implements ResponseListener {

        @Override
        public void onHead(HttpResponse head, BodyFraming framing, ResponseMetadata metadata) {
            assertThat(head.status(), equalTo(HttpResponseStatus.OK));
        }

        @Override
        public void onContent(ByteBuf content) {
            connection.pause();
        }

        @Override
        public void onComplete() {
            assertThat(connection.endpoint().id(), equalTo("e"));
        }

        @Override
        public void onInvalidResponse(String cause) {
            throw new AssertionError(cause);
        }

        @Override
        public void onConnectionLost(String cause) {
            throw new AssertionError(cause);
        }
    }
}
