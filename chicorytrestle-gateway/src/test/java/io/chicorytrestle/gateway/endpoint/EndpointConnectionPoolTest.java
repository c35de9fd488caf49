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
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class EndpointConnectionPoolTest {

    /** A time in milliseconds by which the time-out for connecting has passed. */
    private static final long LONG_WORK_MILLIS = 900;

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
            throw new UnsupportedOperationException("No response is read");
        }

        @Override
        public List<String> singleResponseHeaders() {
            return List.of();
        }
    }
}
