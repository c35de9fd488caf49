package io.chicorytrestle.daemon.platform;

import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.chicorytrestle.core.membership.MemberFact;
import io.chicorytrestle.daemon.settings.Settings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's services from one event loop. Several threads may call it. */
public final class PlatformClient {

    /** The longest value in bytes. */
    private static final int MAXIMUM_VALUE_BYTES = 1_048_576;

    /** The longest instance list in bytes. */
    private static final int MAXIMUM_LIST_BYTES = 16_777_216;

    /** The most milliseconds to wait for a connection. */
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    /** The most milliseconds to wait for an answer beyond the time that a watch waits. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 5_000;

    /** The header with the revision of a value. */
    private static final HttpHeader REVISION = HttpHeaders.of("X-Revision");

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** The status of a watch that saw no change. */
    private static final int NO_CONTENT = 204;

    /** The status of a value that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a read beyond a rate limit. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The event loop. */
    private final Eventloop loop;

    /** The client. */
    private final HttpClient client;

    /** Tells where the platform's services are. */
    private final Settings.Platform settings;

    /**
     * Creates a new client.
     *
     * @param loop The event loop.
     * @param settings Tells where the platform's services are.
     */
    public PlatformClient(Eventloop loop, Settings.Platform settings) {
        this.loop = loop;
        this.settings = settings;
        client =
                HttpClient.builder(loop, DnsClient.create(loop, InetAddress.getLoopbackAddress()))
                        .withConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
                        .withReadWriteTimeout(
                                Duration.ofMillis(settings.watchMillis() + RESPONSE_TIMEOUT_MILLIS))
                        .withForcedShutdown(true)
                        .build();
    }

    /**
     * Waits for a value of the configuration service that is newer than a revision.
     *
     * @param key The value's key.
     * @param afterRevision The revision that is known, or zero to read at once.
     * @param waitMillis The milliseconds to wait for a newer value.
     * @return The value, or empty if there is none or none newer in time. It fails with an {@link
     *     IOException} if the service cannot be read.
     */
    public CompletableFuture<Optional<ConfigurationValue>> readValue(
            String key, long afterRevision, long waitMillis) {
        String query =
                afterRevision == 0
                        ? ""
                        : "?after=%d&waitMillis=%d".formatted(afterRevision, waitMillis);
        return get(settings.configuration() + "/v1/values/" + key + query)
                .thenCompose(
                        response ->
                                switch (response.getCode()) {
                                    case OK -> parseValue(key, response);
                                    case NO_CONTENT, NOT_FOUND ->
                                            CompletableFuture.completedFuture(Optional.empty());
                                    default -> unexpectedStatus("value " + key, response.getCode());
                                });
    }

    /**
     * Reads the instance list.
     *
     * @return The list. It fails with an {@link IOException} if it cannot be read.
     */
    public CompletableFuture<List<MemberFact>> readInstances() {
        return get(settings.instanceList() + "/v1/instances")
                .thenCompose(
                        response ->
                                response.getCode() == OK
                                        ? loadBody(response, MAXIMUM_LIST_BYTES)
                                                .thenApply(InstanceListParser::parse)
                                        : unexpectedStatus("instance list", response.getCode()));
    }

    /**
     * Reads the weights of a model.
     *
     * @param model The model.
     * @param version The model's version.
     * @return {@code false} if the weight store's rate limit was reached. It fails with an {@link
     *     IOException} if the store cannot be read.
     */
    public CompletableFuture<Boolean> readWeights(String model, String version) {
        String address =
                "%s/v1/weights/%s/%s/read"
                        .formatted(settings.weightStore(), urlEncode(model), urlEncode(version));
        return send(() -> HttpRequest.post(address).build())
                .thenCompose(
                        response ->
                                switch (response.getCode()) {
                                    case OK -> CompletableFuture.completedFuture(true);
                                    case TOO_MANY_REQUESTS ->
                                            CompletableFuture.completedFuture(false);
                                    default -> unexpectedStatus("weights", response.getCode());
                                });
    }

    /**
     * Reads a resource.
     *
     * @param address The address.
     * @return The answer.
     */
    private CompletableFuture<HttpResponse> get(String address) {
        return send(() -> HttpRequest.get(address).build());
    }

    /**
     * Sends a request from the event loop.
     *
     * @param request Creates the request.
     * @return The answer.
     */
    private CompletableFuture<HttpResponse> send(java.util.function.Supplier<HttpRequest> request) {
        return loop.submit(() -> client.request(request.get()));
    }

    /**
     * Reads the value in an answer.
     *
     * @param key The value's key.
     * @param response The answer.
     * @return The value.
     */
    private static CompletableFuture<Optional<ConfigurationValue>> parseValue(
            String key, HttpResponse response) {
        String revision = response.getHeader(REVISION);
        return loadBody(response, MAXIMUM_VALUE_BYTES)
                .thenApply(
                        bytes ->
                                Optional.of(
                                        new ConfigurationValue(
                                                key,
                                                Long.parseLong(revision == null ? "" : revision),
                                                bytes)));
    }

    /**
     * Reads the body of an answer. It is called in the event loop.
     *
     * @param response The answer.
     * @param maximumBytes The longest body in bytes.
     * @return The body.
     */
    private static CompletableFuture<byte[]> loadBody(HttpResponse response, int maximumBytes) {
        Promise<byte[]> bytes = response.loadBody(maximumBytes).map(ByteBuf::getArray);
        return bytes.toCompletableFuture();
    }

    /**
     * Returns the failure of an unwanted status.
     *
     * @param what What was read.
     * @param status The status.
     * @param <T> The type of the result.
     * @return The failure.
     */
    private static <T> CompletableFuture<T> unexpectedStatus(String what, int status) {
        return CompletableFuture.failedFuture(
                new IOException("Cannot read %s: status %d".formatted(what, status)));
    }

    /**
     * Returns a text as part of a path.
     *
     * @param text The text.
     * @return The encoded text.
     */
    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
