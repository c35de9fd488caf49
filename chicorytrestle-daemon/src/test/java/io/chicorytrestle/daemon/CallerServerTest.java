package io.chicorytrestle.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpHeaders;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallerServerTest {

    private static final String ALPHA = "alpha:secret-of-alpha";
    private static final String BETA = "beta:secret-of-beta";

    private DaemonFixture fixture;

    @BeforeAll
    void start() throws Exception {
        fixture = DaemonFixture.start();
    }

    @AfterAll
    void stop() {
        fixture.close();
    }

    @BeforeEach
    void reset() {
        fixture.environment().reset();
    }

    @Test
    void testRequestWhenItIsNotHttp() throws Exception {
        try (Socket socket = connect()) {
            write(socket, "what is this\r\n\r\n");
            assertThat(readAll(socket), startsWith("HTTP/1.1 400"));
        }
        assertThat(
                fixture.post(ALPHA, "/v1/chat/completions", DaemonFixture.chatBody(false))
                        .statusCode(),
                is(200));
    }

    @Test
    void testRequestWhenBodyIsMalformed() throws Exception {
        HttpResponse<String> response = fixture.post(ALPHA, "/v1/chat/completions", "{\"model\":");

        assertThat(response.statusCode(), is(400));
        assertThat(response.body(), containsString("\"code\":\"invalid_request\""));
        assertThat(response.headers().firstValue("X-Verdict").orElse(""), is("not_run"));
    }

    @Test
    void testRequestWhenPathIsUnknown() throws Exception {
        HttpResponse<String> response = fixture.post(ALPHA, "/v2/nothing", "");

        assertThat(response.statusCode(), is(404));
        assertThat(response.headers().firstValue("X-Request-Id").isPresent(), is(true));
    }

    @Test
    void testRequestWhenItIsTooLarge() throws Exception {
        HttpResponse<String> response =
                fixture.post(ALPHA, "/v1/services/booking/confirm", "x".repeat(70_000));

        assertThat(response.statusCode(), is(413));
        assertThat(response.body(), containsString("\"code\":\"too_large\""));
        assertThat(fixture.environment().executedOperations.size(), is(0));
    }

    @Test
    void testRequestWhenBodyIsIncomplete() throws Exception {
        try (Socket socket = connect()) {
            write(socket, requestHead("/v1/services/booking/confirm", ALPHA, 100) + "half");
            readAll(socket);
        }

        assertThat(fixture.environment().executedOperations.size(), is(0));
        fixture.awaitIdle();
    }

    @Test
    void testRequestWhenHeadIsSentSlowly() throws Exception {
        try (Socket socket = connect()) {
            write(socket, "POST /v1/tick");
            assertThat(readAll(socket), is(""));
        }
    }

    @Test
    void testChatWhenCallerDisconnectsBeforeFirstText() throws Exception {
        CompletableFuture<String> requestId = new CompletableFuture<>();
        fixture.environment().generateServlet =
                request -> {
                    requestId.complete(request.getHeader(HttpHeaders.of("X-Request-Id")));
                    return new SettablePromise<>();
                };
        try (Socket socket = connect()) {
            write(socket, chatRequest());
            requestId.get(20, TimeUnit.SECONDS);
        }

        DaemonFixture.await(
                () -> fixture.environment().cancelledRequests.contains(requestId.join()));
        fixture.awaitIdle();
    }

    @Test
    void testChatWhenCallerDoesNotRead() throws Exception {
        AtomicLong sequence = new AtomicLong();
        CompletableFuture<String> requestId = new CompletableFuture<>();
        String text = "x".repeat(10_000);
        fixture.environment().generateServlet =
                request -> {
                    String id = request.getHeader(HttpHeaders.of("X-Request-Id"));
                    requestId.complete(id);
                    return io.activej.http.HttpResponse.ok200()
                            .withBodyStream(
                                    ChannelSuppliers.ofSupplier(
                                            () ->
                                                    FakeEnvironment.frame(
                                                            id, sequence.getAndIncrement(), text)))
                            .toPromise();
                };
        try (Socket socket = connect()) {
            write(socket, chatRequest());

            DaemonFixture.await(
                    () ->
                            requestId.isDone()
                                    && fixture.environment()
                                            .cancelledRequests
                                            .contains(requestId.join()));
            fixture.awaitIdle();
        }
    }

    @Test
    void testTicketWhenSecretIsWrong() throws Exception {
        HttpResponse<String> response = fixture.post("alpha:secret-of-beta", "/v1/tickets", "");

        assertThat(response.statusCode(), is(401));
        assertThat(response.body(), containsString("\"verdict\":\"not_run\""));
    }

    @Test
    void testTicketWhenAnotherWorkspaceRequestsIt() throws Exception {
        String ticket =
                DaemonFixture.jsonField(fixture.post(ALPHA, "/v1/tickets", "").body(), "/ticket");

        assertThat(fixture.get(BETA, "/v1/tickets/" + ticket).statusCode(), is(403));
        assertThat(fixture.get(ALPHA, "/v1/tickets/" + ticket).statusCode(), is(200));
    }

    @Test
    void testKeysWhenTheyAreRotated() throws Exception {
        fixture.environment().setKeys("alpha", "secret-of-alpha", "alpha", "next-of-alpha");
        DaemonFixture.await(
                () -> fixture.post("alpha:next-of-alpha", "/v1/tickets", "").statusCode() == 200);
        assertThat(fixture.post(ALPHA, "/v1/tickets", "").statusCode(), is(200));

        fixture.environment().setKeys("alpha", "next-of-alpha");

        DaemonFixture.await(() -> fixture.post(ALPHA, "/v1/tickets", "").statusCode() == 401);
        fixture.environment().setKeys("alpha", "secret-of-alpha", "beta", "secret-of-beta");
        DaemonFixture.await(() -> fixture.post(ALPHA, "/v1/tickets", "").statusCode() == 200);
    }

    private static String chatRequest() {
        String body = DaemonFixture.chatBody(true);
        return requestHead("/v1/chat/completions", ALPHA, body.length()) + body;
    }

    private static String requestHead(String path, String credential, int length) {
        return "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
                .formatted(path, credential, length);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.node().callerPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static String readAll(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        return new String(input.readAllBytes(), StandardCharsets.US_ASCII);
    }
}
