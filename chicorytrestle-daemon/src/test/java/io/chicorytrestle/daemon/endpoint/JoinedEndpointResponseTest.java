package io.chicorytrestle.daemon.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;

import io.activej.http.HttpRequest;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards a caller of the daemon against a response that is not one response to its request. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class JoinedEndpointResponseTest {

    private static final int TIMEOUT_SECONDS = 10;

    private static final int MAXIMUM_BODY_BYTES = 1_000;

    private static final String HEAD_END = "\r\n\r\n";

    private final Queue<String> responses = new ConcurrentLinkedQueue<>();

    private ServerSocket server;

    private EventLoopPool loops;

    private EndpointChannel channel;

    @BeforeEach
    void setUp() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        loops = EventLoopPool.start("test", 1);
        channel =
                EndpointChannel.of(
                                loops,
                                new Settings.Endpoints(List.of(), List.of(), 2_000, 5_000, 10_000),
                                MonotonicClock.start())
                        .get(0);
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void tearDown() throws IOException {
        loops.close();
        server.close();
    }

    /** Guards against the status of one response with the body of another. */
    @Test
    @Tag("known-red")
    void testSendWhenAResponseFollowsACutOne() throws Exception {
        responses.add("HTTP/1.1 200 OK\r\nX-A: b" + response("500 Failed", "failed"));

        assertThat(send(), startsWith("failure"));
    }

    /** Guards against a response to another request. */
    @Test
    @Tag("known-red")
    void testSendWhenACopyFollowsAResponse() throws Exception {
        responses.add(response("200 OK", "first") + response("200 OK", "copy"));
        responses.add(response("200 OK", "second"));

        assertThat(send(), equalTo("200 first"));
        assertThat(send(), equalTo("200 second"));
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + HEAD_END + body;
    }

    private String send() throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        HttpRequest request =
                HttpRequest.get("http://127.0.0.1:" + server.getLocalPort() + "/x").build();
        channel.loop()
                .execute(
                        () ->
                                channel.send(request, new WriteTracker(nowMillis -> true))
                                        .then(
                                                response ->
                                                        response.loadBody(MAXIMUM_BODY_BYTES)
                                                                .map(
                                                                        body ->
                                                                                response.getCode()
                                                                                        + " "
                                                                                        + body
                                                                                                .getString(
                                                                                                        StandardCharsets
                                                                                                                .UTF_8)))
                                        .whenResult(result::complete)
                                        .whenException(
                                                failure -> result.complete("failure " + failure)));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void serve() {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    while (readHead(socket.getInputStream())) {
                        socket.getOutputStream()
                                .write(responses.remove().getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
            }
        } catch (IOException exception) {
            return;
        }
    }

    private static boolean readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }
}
