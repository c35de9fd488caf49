package io.chicorytrestle.gateway.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.activej.eventloop.Eventloop;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.gateway.link.EventLoopLag;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class FrontHttpServerTest {

    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoopLag eventLoopLag = new EventLoopLag();

    private final Eventloop reactor =
            Eventloop.builder().withCurrentThread().withInspector(eventLoopLag).build();

    private final List<Long> agesMillis = new ArrayList<>();

    private int requestsBeforeResume;

    private final InetSocketAddress address = freeAddress();

    private final FrontHttpServer server =
            new FrontHttpServer(
                    reactor,
                    address,
                    eventLoopLag,
                    (head, body, arrivedMillis, caller) -> {
                        agesMillis.add(reactor.currentTimeMillis() - arrivedMillis);
                        reactor.breakEventloop();
                        return () -> {};
                    },
                    () -> RequestLimits.DEFAULT,
                    (status, reason) -> {},
                    CallerLimits.forOperators());

    FrontHttpServerTest() throws IOException {
        server.listen();
    }

    @AfterEach
    void tearDown() {
        server.close();
    }

    /** The first request is not looked at, since loading the classes delays the event loop. */
    @Test
    void testHandleWhenServerAccepts() throws IOException {
        runWithRequest(0);
        runWithRequest(0);

        assertThat(agesMillis, hasSize(2));
        assertThat(agesMillis.get(1), is(lessThan(100L)));
    }

    /** The request arrived during the pause, so that its caller may have left already. */
    @Test
    void testHandleWhenTheRequestArrivedDuringAPause() throws IOException {
        server.pause();
        runWithRequest(400);

        assertThat(requestsBeforeResume, equalTo(0));
        assertThat(agesMillis, hasSize(1));
        assertThat(agesMillis.get(0), is(greaterThanOrEqualTo(100L)));
    }

    /** Sends a request, resumes the server after a while, and runs the event loop. */
    private void runWithRequest(long resumeMillis) throws IOException {
        reactor.keepAlive(true);
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.getOutputStream().write(REQUEST);
            reactor.delay(
                    resumeMillis,
                    () -> {
                        requestsBeforeResume = agesMillis.size();
                        server.resume();
                    });
            reactor.run();
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }
}
