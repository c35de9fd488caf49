package io.chicorytrestle.standin.http;

import static org.hamcrest.CoreMatchers.is;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.standin.model.SyntheticAnswer;
import io.chicorytrestle.standin.model.EngineProfile;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandInFleetTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final ChatKey CHAT = new ChatKey("sicilia", "chat-1");

    private final HttpClient client = HttpClient.newHttpClient();

    private StandInFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet =
                StandInFleet.start(
                        new Scenario(
                                "127.0.0.1",
                                0,
                                0,
                                0,
                                0,
                                new Scenario.Platform(5, 1, 0, 0, 0, 0, "crash-word", 1),
                                Map.of("table", "version: 1"),
                                List.of(),
                                List.of(engine(), service())));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void testStreamIsCompleteAndMatchesPromptWhenGenerated() throws Exception {
        HttpResponse<String> answer = generate("r1", "ciao", 30);

        assertThat(joinFrameTexts(answer.body()), is(SyntheticAnswer.forPrompt(CHAT, "ciao", 30).fullText()));
        assertThat(lastFrame(answer.body()).path("usage").path("promptTokens").asInt(), is(1));
    }

    @Test
    void testStreamContinuesWhenResumed() throws Exception {
        String whole = generate("r1", "ciao", 30).body();
        String rest = get(engineUri() + "/v1/requests/r1?from=3").body();

        assertThat(
                rest,
                is(whole.lines().skip(3).map(line -> line + "\n").collect(Collectors.joining())));
    }

    @Test
    void testCachedTokensWhenChatReturns() throws Exception {
        generate("r1", "a question of some length", 30);
        HttpResponse<String> answer = generate("r2", "a question of some length", 30);

        assertThat(lastFrame(answer.body()).path("usage").path("cachedTokens").asInt(), is(6));
        assertThat(get(engineUri() + "/v1/kv/sicilia/chat-1").statusCode(), is(200));
    }

    @Test
    void testNotRunWhenEngineIsLeaving() throws Exception {
        post(controlUri("endpoints/engine-1/leave"), "");

        HttpResponse<String> answer = generate("r1", "ciao", 30);

        assertThat(answer.statusCode(), is(409));
        assertThat(answer.headers().firstValue("X-Verdict").orElse(""), is("not_run"));
        assertThat(listedEndpoint("engine-1").path("state").asText(), is("LEAVING"));
    }

    @Test
    void testStreamBreaksAndIncarnationGrowsWhenPromptCrashesEngine() throws Exception {
        assertThrows(IOException.class, () -> generate("r1", "a crash-word", 1_000));
        awaitIncarnation(2);

        assertThat(generate("r2", "ciao", 30).statusCode(), is(200));
    }

    @Test
    void testStreamBreaksWhenCutByFault() throws Exception {
        put(
                controlUri("endpoints/engine-1/faults"),
                "{\"cutAfterFrames\":2,\"delayMillis\":1,\"foreignFrames\":false,\"dropAnswers\":false}");

        assertThrows(IOException.class, () -> generate("r1", "ciao", 30));
    }

    @Test
    void testExecutionIsCountedWhenResponseIsDropped() throws Exception {
        String faults =
                "{\"cutAfterFrames\":0,\"delayMillis\":0,\"foreignFrames\":false,\"dropAnswers\":true}";
        put(controlUri("endpoints/booking-1/faults"), faults);

        assertThrows(
                IOException.class, () -> post(serviceUri() + "/v1/operations/book", "visit-7"));
        assertThat(
                parseJson(get(controlUri("executions"))).path("byBody").path("book visit-7").asInt(),
                is(1));
    }

    @Test
    void testConnectionIsRefusedUntilAccepted() throws Exception {
        String uri = engineUri();
        post(controlUri("endpoints/engine-1/refuse"), "");
        assertThrows(IOException.class, () -> get(uri + "/v1/load"));

        post(controlUri("endpoints/engine-1/accept"), "");
        assertThat(get(uri + "/v1/load").statusCode(), is(200));
    }

    @Test
    void testResponseIsDelayedWhenEngineWasPaused() throws Exception {
        post(controlUri("endpoints/engine-1/pause"), "");
        var pending =
                client.sendAsync(
                        HttpRequest.newBuilder(URI.create(engineUri() + "/v1/load")).build(),
                        HttpResponse.BodyHandlers.ofString());
        post(controlUri("endpoints/engine-1/resume"), "");

        assertThat(pending.get().statusCode(), is(200));
    }

    @Test
    void testOldFenceIsRefusedWhenEngineChecksFences() throws Exception {
        String order = "{\"fence\":%d,\"model\":\"m\",\"version\":\"1\"}";

        assertThat(post(engineUri() + "/v1/orders", order.formatted(7)).statusCode(), is(200));
        assertThat(post(engineUri() + "/v1/orders", order.formatted(6)).statusCode(), is(412));
    }

    @Test
    void testWatchReturnsNewValueWhenPublished() throws Exception {
        String uri = fleet.addresses().configuration() + "/v1/values/table";
        var watch =
                client.sendAsync(
                        HttpRequest.newBuilder(URI.create(uri + "?after=1&waitMillis=30000"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        put(controlUri("values/table"), "version: 2");

        assertThat(watch.get().body(), is("version: 2"));
        assertThat(watch.get().headers().firstValue("X-Revision").orElse(""), is("2"));
    }

    @Test
    void testOldValueIsReadWhenConfigurationIsStale() throws Exception {
        String uri = fleet.addresses().configuration() + "/v1/values/table";
        post(controlUri("configuration/stale"), "");
        put(controlUri("values/table"), "version: 2");
        assertThat(get(uri).body(), is("version: 1"));

        post(controlUri("configuration/down"), "");
        assertThat(get(uri).statusCode(), is(503));

        post(controlUri("configuration/up"), "");
        assertThat(get(uri).body(), is("version: 2"));
    }

    @Test
    void testWeightStoreRefusesWhenLimitIsReached() throws Exception {
        String uri = fleet.addresses().weightStore() + "/v1/weights/m/1/read";
        long admitted = 0;
        long refused = 0;
        while (refused == 0) {
            boolean ok = post(uri, "").statusCode() == 200;
            admitted += ok ? 1 : 0;
            refused += ok ? 0 : 1;
        }

        assertThat(
                parseJson(get(controlUri("reads"))).path("weights").path("total").asLong(), is(admitted));
    }

    private static Scenario.EndpointSpecification engine() {
        EngineProfile profile = new EngineProfile(2, 100_000, 2_000, 10_000, 2);
        return new Scenario.EndpointSpecification(
                "engine-1", EndpointKind.ENGINE, "pool", "palermo", 0, 2, true, profile);
    }

    private static Scenario.EndpointSpecification service() {
        return new Scenario.EndpointSpecification(
                "booking-1", EndpointKind.SERVICE, "booking", "palermo", 0, 4, false, null);
    }

    private HttpResponse<String> generate(String requestId, String prompt, int maximumTokens)
            throws Exception {
        String body =
                MAPPER.writeValueAsString(
                        Map.of(
                                "requestId",
                                requestId,
                                "workspace",
                                CHAT.workspace(),
                                "chat",
                                CHAT.chat(),
                                "model",
                                "m",
                                "prompt",
                                prompt,
                                "maximumTokens",
                                maximumTokens,
                                "priority",
                                0));
        return post(engineUri() + "/v1/generate", body);
    }

    private void awaitIncarnation(int incarnation) throws Exception {
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (listedEndpoint("engine-1").path("incarnation").asInt() != incarnation) {
            assertThat("time is left", System.nanoTime() < deadline, is(true));
            Thread.onSpinWait();
        }
    }

    private String engineUri() throws Exception {
        return "http://127.0.0.1:" + listedEndpoint("engine-1").path("port").asInt();
    }

    private String serviceUri() throws Exception {
        return "http://127.0.0.1:" + listedEndpoint("booking-1").path("port").asInt();
    }

    private JsonNode listedEndpoint(String name) throws Exception {
        JsonNode list = parseJson(get(fleet.addresses().instanceList() + "/v1/instances"));
        for (JsonNode endpoint : list.path("endpoints")) {
            if (endpoint.path("name").asText().equals(name)) {
                return endpoint;
            }
        }
        return MAPPER.createObjectNode();
    }

    private String controlUri(String path) {
        return fleet.addresses().control() + "/standin/" + path;
    }

    private HttpResponse<String> get(String uri) throws Exception {
        return send(HttpRequest.newBuilder(URI.create(uri)));
    }

    private HttpResponse<String> post(String uri, String body) throws Exception {
        return send(
                HttpRequest.newBuilder(URI.create(uri))
                        .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> put(String uri, String body) throws Exception {
        return send(
                HttpRequest.newBuilder(URI.create(uri))
                        .PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode parseJson(HttpResponse<String> response) throws Exception {
        return MAPPER.readTree(response.body());
    }

    private static String joinFrameTexts(String body) throws Exception {
        StringBuilder text = new StringBuilder();
        for (String line : body.lines().toList()) {
            text.append(MAPPER.readTree(line).path("text").asText());
        }
        return text.toString();
    }

    private static JsonNode lastFrame(String body) throws Exception {
        List<String> lines = body.lines().toList();
        return MAPPER.readTree(lines.get(lines.size() - 1));
    }
}
