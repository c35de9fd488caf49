package io.chicorytrestle.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/**
 * Runs a daemon against a {@link FakeEnvironment} and sends it requests as a caller or an operator.
 */
record DaemonFixture(FakeEnvironment environment, DaemonNode node, HttpClient client)
        implements AutoCloseable {

    private static final long TIMEOUT_MILLIS = 20_000;

    static DaemonFixture start() throws Exception {
        FakeEnvironment environment = new FakeEnvironment();
        DaemonFixture fixture =
                new DaemonFixture(
                        environment,
                        DaemonNode.start(environment.settings()),
                        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build());
        await(() -> fixture.getAsOperator("/ready").statusCode() == 200);
        return fixture;
    }

    static void await(Callable<Boolean> condition) throws Exception {
        long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
        boolean met = condition.call();
        while (!met && System.currentTimeMillis() < deadlineMillis) {
            Thread.onSpinWait();
            met = condition.call();
        }
        assertThat(met, is(true));
    }

    static String chatBody(boolean stream) {
        return "{\"model\":\"small\",\"stream\":%s,\"messages\":[{\"role\":\"user\",\"content\":\"Hi\"}]}"
                .formatted(stream);
    }

    static String jsonField(String body, String path) throws Exception {
        return new ObjectMapper().readTree(body).at(path).asText();
    }

    void awaitIdle() throws Exception {
        await(() -> getAsOperator("/load").body().contains("\"load.requestsInFlight\":0"));
    }

    HttpResponse<String> getAsOperator(String path) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.operatorPort() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String credential, String path) throws Exception {
        return client.send(request(credential, path).build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String credential, String path, String body) throws Exception {
        return client.send(
                request(credential, path).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> postWithTicket(String credential, String path, String body, String ticket)
            throws Exception {
        return client.send(
                request(credential, path)
                        .header("X-Ticket", ticket)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> postAsync(String credential, String path, String body) {
        return client.sendAsync(
                request(credential, path).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String credential, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.callerPort() + path))
                .header("Authorization", "Bearer " + credential);
    }

    @Override
    public void close() {
        node.close();
        environment.close();
    }
}
