package io.chicorytrestle.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.activej.http.HttpHeaders;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DaemonDrainTest {

    @Test
    void testDrainWhenResponseIsInFlight() throws Exception {
        try (DaemonFixture fixture = DaemonFixture.start()) {
            SettablePromise<io.activej.http.HttpResponse> heldResponse = new SettablePromise<>();
            CompletableFuture<String> requestId = new CompletableFuture<>();
            fixture.environment().generateServlet =
                    request -> {
                        requestId.complete(request.getHeader(HttpHeaders.of("X-Request-Id")));
                        return heldResponse;
                    };
            CompletableFuture<HttpResponse<String>> response =
                    fixture.postAsync(
                            "alpha:secret-of-alpha",
                            "/v1/chat/completions",
                            DaemonFixture.chatBody(true));
            String receivedId = requestId.get(20, TimeUnit.SECONDS);

            CompletableFuture<Boolean> drained = fixture.node().drain();
            DaemonFixture.await(() -> !canConnect(fixture));
            assertThat(drained.isDone(), is(false));
            fixture.environment()
                    .runInLoop(
                            () ->
                                    FakeEnvironment.framesResponse(receivedId)
                                            .whenResult(heldResponse::set));

            assertThat(response.get(20, TimeUnit.SECONDS).body(), containsString("data: [DONE]"));
            assertThat(drained.get(20, TimeUnit.SECONDS), is(true));
        }
    }

    private static boolean canConnect(DaemonFixture fixture) {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), fixture.node().callerPort())) {
            return socket.isConnected();
        } catch (IOException exception) {
            return false;
        }
    }

    @Test
    void testDrainWhenNothingIsInFlight() throws Exception {
        try (DaemonFixture fixture = DaemonFixture.start()) {
            assertThat(fixture.node().drain().get(20, TimeUnit.SECONDS), is(true));
        }
    }
}
