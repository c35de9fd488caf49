package io.chicorytrestle.gateway.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PooledHttpClientTest {

    private static final long TIMEOUT_MILLIS = 10_000;

    private static final int BUFFER_BYTES = 4_096;

    private final Eventloop reactor = Eventloop.builder().build();

    private final List<String> responses = new ArrayList<>();

    private ServerSocket server;

    private PooledHttpClient client;

    @BeforeEach
    void setUp() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        client =
                new PooledHttpClient(
                        reactor,
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
        reactor.keepAlive(true);
        startDaemon(reactor);
        startDaemon(this::acceptConnections);
    }

    @AfterEach
    void tearDown() throws IOException {
        server.close();
        reactor.execute(reactor::breakEventloop);
    }

    private static void startDaemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException exception) {
            return;
        }
    }

    /** Writes the next response at each read; a request arrives in one piece. */
    private void serve(Socket socket) {
        try (socket) {
            byte[] request = new byte[BUFFER_BYTES];
            while (socket.getInputStream().read(request) > 0) {
                String response;
                synchronized (responses) {
                    response = responses.remove(0);
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException exception) {
            return;
        }
    }

    /** Guards against a body that is taken for the one of the next request. */
    @Test
    void testGetWhenAPartOfACopyFollowsAResponse() throws Exception {
        String first = response("first");
        for (int length = 0; length <= first.length(); length++) {
            responses.addAll(List.of(first + first.substring(0, length), response("second")));

            assertThat("" + length, get(), equalTo("first"));
            assertThat("" + length, get(), equalTo("second"));
        }
    }

    @Test
    void testGetWhenHeadersAreRepeated() throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nX-A: 0\r\n\r\n";
        responses.add(interim + "HTTP/1.1 200 OK\r\nx-a: 1\r\nX-A: 2\r\nContent-Length: 0\r\n\r\n");
        CompletableFuture<List<String>> values = new CompletableFuture<>();
        reactor.execute(
                () ->
                        client.get("/", TIMEOUT_MILLIS)
                                .whenResult(response -> values.complete(response.headers("X-A"))));

        assertThat(values.get(), contains("1", "2"));
    }

    /** Guards against an interim response that is taken for the final one. */
    @Test
    void testGetWhenAnInterimResponsePrecedes() throws Exception {
        responses.add("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("body"));

        assertThat(get(), equalTo("body"));
    }

    @Test
    void testGetWhenAResponseFollowsACutOne() throws Exception {
        responses.add("HTTP/1.1 200 OK\r\nDate: Sat" + response("body"));

        try {
            assertThat("Expected a refusal, got " + get(), false);
        } catch (ExecutionException exception) {
            assertThat(exception.toString(), endsWith("Response is malformed"));
        }
    }

    /** Guards against a body that is kept until the memory runs out. */
    @Test
    void testGetWhenTheBodyIsTooLarge() throws Exception {
        responses.add(response("b".repeat(PooledHttpClient.MAXIMUM_BODY_BYTES + 1)));

        try {
            assertThat("Expected a refusal, got " + get(), false);
        } catch (ExecutionException exception) {
            assertThat(exception.toString(), containsString("Response body is larger than"));
        }
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String get() throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        reactor.execute(
                () ->
                        client.get("/", TIMEOUT_MILLIS)
                                .whenComplete(
                                        (response, failure) -> {
                                            if (failure == null) {
                                                result.complete(
                                                        new String(
                                                                response.body(),
                                                                StandardCharsets.ISO_8859_1));
                                            } else {
                                                result.completeExceptionally(failure);
                                            }
                                        }));
        return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
