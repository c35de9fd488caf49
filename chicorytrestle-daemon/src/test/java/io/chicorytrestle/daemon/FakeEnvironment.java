package io.chicorytrestle.daemon;

import com.google.common.hash.Hashing;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.settings.Settings;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/**
 * Serves the platform, one engine and one plain service for a daemon under test from one HTTP
 * server.
 */
final class FakeEnvironment implements AutoCloseable {

    static final String TABLE =
            """
            version: 1
            workspaces:
              - {name: alpha, share: 1, ceiling: 100, priority: 5, queue: 10}
              - {name: beta, share: 1, ceiling: 100, priority: 5, queue: 10}
            pools:
              - {name: chat, kind: engine, multiple: 1.5, ceiling: 16, model: small, version: "1"}
              - {name: booking, kind: service, multiple: 10, ceiling: 16}
            """;

    final List<String> cancelledRequests = new CopyOnWriteArrayList<>();
    final List<String> executedOperations = new CopyOnWriteArrayList<>();
    private final EventLoopPool loops = EventLoopPool.start("fake", 1);
    private final HttpServer server;
    volatile String workspaceKeysYaml =
            workspaceKeysYaml("alpha", "secret-of-alpha", "beta", "secret-of-beta");
    final java.util.concurrent.atomic.AtomicLong keysRevision =
            new java.util.concurrent.atomic.AtomicLong(1);
    volatile @Nullable AsyncServlet generateServlet;
    volatile @Nullable AsyncServlet operationServlet;

    FakeEnvironment() throws Exception {
        Eventloop loop = loops.all().get(0);
        RoutingServlet routes =
                RoutingServlet.builder(loop)
                        .with(
                                HttpMethod.GET,
                                "/v1/values/table",
                                request ->
                                        valueResponse(TABLE, 1, request.getQueryParameter("after")))
                        .with(
                                HttpMethod.GET,
                                "/v1/values/workspace-keys",
                                request ->
                                        valueResponse(
                                                workspaceKeysYaml,
                                                keysRevision.get(),
                                                request.getQueryParameter("after")))
                        .with(HttpMethod.GET, "/v1/instances", request -> instancesResponse())
                        .with(
                                HttpMethod.POST,
                                "/v1/generate",
                                request ->
                                        request.loadBody()
                                                .then(
                                                        body -> {
                                                            AsyncServlet servlet = generateServlet;
                                                            return servlet == null
                                                                    ? framesResponse(
                                                                            request.getHeader(
                                                                                    io.activej.http
                                                                                            .HttpHeaders
                                                                                            .of(
                                                                                                    "X-Request-Id")))
                                                                    : servlet.serve(request);
                                                        }))
                        .with(
                                HttpMethod.DELETE,
                                "/v1/requests/:id",
                                request -> {
                                    cancelledRequests.add(request.getPathParameter("id"));
                                    return HttpResponse.ok200().toPromise();
                                })
                        .with(
                                "/v1/operations/:operation",
                                request ->
                                        request.loadBody()
                                                .then(
                                                        body -> {
                                                            executedOperations.add(
                                                                    request.getPathParameter(
                                                                                    "operation")
                                                                            + request.getQuery()
                                                                            + body.getString(
                                                                                    StandardCharsets
                                                                                            .UTF_8));
                                                            AsyncServlet servlet = operationServlet;
                                                            return servlet == null
                                                                    ? HttpResponse.ok200()
                                                                            .withJson(
                                                                                    "{\"done\":true}")
                                                                            .toPromise()
                                                                    : servlet.serve(request);
                                                        }))
                        .build();
        server =
                HttpServer.builder(loop, routes)
                        .withListenAddress(
                                new InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), 0))
                        .build();
        loop.submit(server::listen).get();
    }

    static String workspaceKeysYaml(String... namesAndSecrets) {
        StringBuilder text = new StringBuilder("workspaces:\n");
        for (int index = 0; index < namesAndSecrets.length; index += 2) {
            text.append(
                    "  - {name: %s, salt: s%d, hash: %s}\n"
                            .formatted(
                                    namesAndSecrets[index],
                                    index,
                                    Hashing.sha256()
                                            .hashString(
                                                    "s" + index + namesAndSecrets[index + 1],
                                                    StandardCharsets.UTF_8)));
        }
        return text.toString();
    }

    void reset() {
        generateServlet = null;
        operationServlet = null;
        cancelledRequests.clear();
        executedOperations.clear();
    }

    void setKeys(String... namesAndSecrets) {
        workspaceKeysYaml = workspaceKeysYaml(namesAndSecrets);
        keysRevision.incrementAndGet();
    }

    void runInLoop(Runnable action) {
        loops.all().get(0).execute(action);
    }

    int port() {
        return server.getBoundAddresses().get(0).getPort();
    }

    String settingsText() {
        return """
                instance: {name: entry-1, zone: palermo}
                callers: {host: 127.0.0.1, port: 0, threads: 2, maximumBodyBytes: 65536,
                  requestTimeoutMillis: 700, writeTimeoutMillis: 2000}
                operators: {host: 127.0.0.1, port: 0}
                peers: {host: 127.0.0.1, port: 0, keys: [{id: k1, secret: 0123456789abcdef}]}
                platform: {configuration: "http://127.0.0.1:%1$d", instanceList: "http://127.0.0.1:%1$d",
                  weightStore: "http://127.0.0.1:%1$d", watchMillis: 200, listMillis: 100}
                tickets: {keys: [{id: k1, secret: 0123456789abcdef}]}
                limits: {answerBufferBytes: 65536}
                drain: {deadlineMillis: 5000}
                """
                .formatted(port());
    }

    Settings settings() throws Exception {
        return Settings.parse(settingsText());
    }

    static Promise<HttpResponse> framesResponse(String requestId) {
        return HttpResponse.ok200()
                .withBodyStream(
                        ChannelSuppliers.ofValues(
                                frame(requestId, 0, "Hello "),
                                frame(requestId, 1, "there"),
                                lastFrame(requestId, 2)))
                .toPromise();
    }

    static ByteBuf frame(String requestId, long sequence, String text) {
        return toByteBuf(
                "{\"requestId\":\"%s\",\"sequence\":%d,\"text\":\"%s\"}%n"
                        .formatted(requestId, sequence, text));
    }

    static ByteBuf lastFrame(String requestId, long sequence) {
        return toByteBuf(
                "{\"requestId\":\"%s\",\"sequence\":%d,\"text\":\"\",\"usage\":{\"promptTokens\":5,\"cachedTokens\":3,\"generatedTokens\":2}}%n"
                        .formatted(requestId, sequence));
    }

    private static ByteBuf toByteBuf(String text) {
        return ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8));
    }

    private Promise<HttpResponse> valueResponse(
            String text, long revision, @Nullable String after) {
        if (after != null && Long.parseLong(after) >= revision) {
            return io.activej.promise.Promises.delay(100L, HttpResponse.ofCode(204).build());
        }
        return HttpResponse.ok200()
                .withHeader(io.activej.http.HttpHeaders.of("X-Revision"), Long.toString(revision))
                .withBody(text)
                .toPromise();
    }

    private Promise<HttpResponse> instancesResponse() {
        String endpoint =
                "{\"name\":\"%s\",\"incarnation\":1,\"kind\":\"%s\",\"pool\":\"%s\",\"zone\":\"palermo\",\"host\":\"127.0.0.1\",\"port\":%d,\"capacity\":16,\"state\":\"LIVE\"}";
        return HttpResponse.ok200()
                .withJson(
                        "{\"entryInstances\":[],\"endpoints\":["
                                + endpoint.formatted("engine-1", "ENGINE", "chat", port())
                                + ","
                                + endpoint.formatted("booking-1", "SERVICE", "booking", port())
                                + "]}")
                .toPromise();
    }

    @Override
    public void close() {
        loops.close();
    }
}
