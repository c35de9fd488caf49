package io.chicorytrestle.bench.history;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.daemon.DaemonNode;
import io.chicorytrestle.daemon.settings.Settings;
import io.chicorytrestle.standin.http.Scenario;
import io.chicorytrestle.standin.http.StandInFleet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the verdicts of calls against the executions at the endpoints, with real daemons. */
class DaemonHistoryTest {

    private static final int NODES = 3;

    private static final int CALLERS = 8;

    private static final int CALLS = 8;

    private static final long TIMEOUT_MILLIS = 20_000;

    private static final String TABLE_YAML =
            """
            version: 1
            workspaces:
              - {name: sicilia, share: 1, ceiling: 1000, priority: 5, queue: 1000}
            pools:
              - {name: booking, kind: service, multiple: 10, ceiling: 100}
            """;

    private static final String SETTINGS_TEMPLATE =
            """
            instance: {name: entry-%d, zone: palermo}
            callers: {host: 127.0.0.1, port: 0, threads: 2}
            operators: {host: 127.0.0.1, port: 0}
            peers: {host: 127.0.0.1, port: %d, keys: [{id: k, secret: 0123456789abcdef}]}
            platform: {configuration: "%s", instanceList: "%s", weightStore: "%s"}
            tickets: {keys: [{id: k, secret: 0123456789abcdef}]}
            endpoints: {checkFencing: [], checkIdempotencyKeys: []}
            limits: {}
            drain: {}
            """;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final List<DaemonNode> nodes = new ArrayList<>();

    private StandInFleet fleet;

    @BeforeEach
    void start() throws Exception {
        List<Integer> ports = freePorts();
        List<Scenario.EntryInstance> instances = new ArrayList<>();
        for (int index = 0; index < NODES; index++) {
            instances.add(
                    new Scenario.EntryInstance(
                            "entry-" + index, "palermo", "127.0.0.1", ports.get(index), 1, "LIVE"));
        }
        String hash = Hashing.sha256().hashString("saltsecret", StandardCharsets.UTF_8).toString();
        fleet =
                StandInFleet.start(
                        new Scenario(
                                "127.0.0.1",
                                0,
                                0,
                                0,
                                0,
                                Scenario.Platform.DEFAULT,
                                Map.of(
                                        "table",
                                        TABLE_YAML,
                                        "workspace-keys",
                                        "workspaces: [{name: sicilia, salt: salt, hash: \"%s\"}]"
                                                .formatted(hash)),
                                instances,
                                List.of(service("service-0"), service("service-1"))));
        StandInFleet.Addresses addresses = fleet.addresses();
        for (int index = 0; index < NODES; index++) {
            nodes.add(
                    DaemonNode.start(
                            Settings.parse(
                                    SETTINGS_TEMPLATE.formatted(
                                            index,
                                            ports.get(index),
                                            addresses.configuration(),
                                            addresses.instanceList(),
                                            addresses.weightStore()))));
        }
        for (DaemonNode node : nodes) {
            awaitReady(node);
        }
    }

    @AfterEach
    void stop() {
        nodes.forEach(DaemonNode::close);
        fleet.close();
    }

    /**
     * Guards against calls that run twice, verdicts that contradict the executions and responses to
     * another call. Each ticket is used for two concurrent calls at random instances while one
     * service crashes and one instance drains.
     */
    @Test
    void testCallWhenServiceCrashesAndInstanceDrains() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        List<CompletableFuture<List<ObservedCall>>> callerResults = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int callerNumber = caller;
            callerResults.add(
                    CompletableFuture.supplyAsync(() -> makeCalls(callerNumber), callers));
        }
        callStandInControl("POST", "/standin/endpoints/service-1/crash");
        nodes.get(NODES - 1).drain().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        List<ObservedCall> observedCalls = new ArrayList<>();
        for (CompletableFuture<List<ObservedCall>> callerResult : callerResults) {
            observedCalls.addAll(callerResult.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
        callers.shutdown();
        JsonNode executions =
                new ObjectMapper()
                        .readTree(callStandInControl("GET", "/standin/executions"))
                        .get("byBody");
        List<String> violations = new ArrayList<>();
        int executedCalls = 0;
        for (ObservedCall call : observedCalls) {
            int executionCount = executions.path("confirm " + call.body).asInt();
            boolean allNotRun = call.verdicts.stream().allMatch("not_run"::equals);
            boolean anyRan = call.verdicts.contains("ran");
            executedCalls += anyRan ? 1 : 0;
            if (executionCount > 1
                    || (allNotRun && executionCount > 0)
                    || (anyRan && executionCount == 0)
                    || call.hasForeignResponse) {
                violations.add(call + " executed " + executionCount);
            }
        }
        assertThat(violations, is(empty()));
        assertThat(executedCalls, is(greaterThan(0)));
    }

    private List<ObservedCall> makeCalls(int caller) {
        SplittableRandom random = new SplittableRandom(caller);
        List<ObservedCall> observedCalls = new ArrayList<>();
        for (int call = 0; call < CALLS; call++) {
            String body = "booking-" + caller + "-" + call;
            try {
                observedCalls.add(callTwiceWithTicket(body, random));
            } catch (IOException | InterruptedException exception) {
                // The outcome is unknown: both no execution and one are allowed.
                observedCalls.add(new ObservedCall(body, List.of("may_have_run"), false));
            }
        }
        return observedCalls;
    }

    private ObservedCall callTwiceWithTicket(String body, SplittableRandom random)
            throws IOException, InterruptedException {
        HttpResponse<String> issued =
                client.send(
                        request(random.nextInt(NODES), "/v1/tickets", "").build(),
                        HttpResponse.BodyHandlers.ofString());
        String ticket = new ObjectMapper().readTree(issued.body()).path("ticket").asText();
        if (ticket.isEmpty()) {
            return new ObservedCall(body, List.of("not_run"), false);
        }
        List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
        for (int attempt = 0; attempt < 2; attempt++) {
            pendingResponses.add(
                    client.sendAsync(
                            request(random.nextInt(NODES), "/v1/services/booking/confirm", body)
                                    .header("X-Ticket", ticket)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString()));
        }
        List<String> verdicts = new ArrayList<>();
        boolean hasForeignResponse = false;
        for (CompletableFuture<HttpResponse<String>> pendingResponse : pendingResponses) {
            HttpResponse<String> response = pendingResponse.exceptionally(thrown -> null).join();
            String verdict =
                    response == null
                            ? "may_have_run"
                            : response.headers().firstValue("X-Verdict").orElse("may_have_run");
            verdicts.add(verdict);
            hasForeignResponse |=
                    response != null
                            && response.statusCode() == 200
                            && !response.body().startsWith("done confirm " + body + " ");
        }
        return new ObservedCall(body, verdicts, hasForeignResponse);
    }

    private HttpRequest.Builder request(int node, String path, String body) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + nodes.get(node).callerPort() + path))
                .timeout(Duration.ofMillis(TIMEOUT_MILLIS))
                .header("Authorization", "Bearer sicilia:secret")
                .header("X-Deadline-Millis", "5000")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private String callStandInControl(String method, String path) throws Exception {
        return client.send(
                        HttpRequest.newBuilder(URI.create(fleet.addresses().control() + path))
                                .method(method, HttpRequest.BodyPublishers.noBody())
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private void awaitReady(DaemonNode node) throws Exception {
        long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
        URI uri = URI.create("http://127.0.0.1:" + node.operatorPort() + "/ready");
        int status = 0;
        while (status != 200 && System.currentTimeMillis() < deadlineMillis) {
            status =
                    client.send(
                                    HttpRequest.newBuilder(uri).build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode();
        }
        assertThat(status, is(200));
    }

    private static Scenario.EndpointSpecification service(String name) {
        return new Scenario.EndpointSpecification(
                name, EndpointKind.SERVICE, "booking", "palermo", 0, 32, false, null);
    }

    private static List<Integer> freePorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < NODES; index++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            }
        }
        return ports;
    }

    private record ObservedCall(String body, List<String> verdicts, boolean hasForeignResponse) {}
}
