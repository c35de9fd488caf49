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

/** Reads the platform's services over HTTP from one event loop. It is thread-safe. */
public final class PlatformClient {

    /** The maximum length of a value in bytes. */
    private static final int MAXIMUM_VALUE_BYTES = 1_048_576;

    /** The maximum length of the instance list in bytes. */
    private static final int MAXIMUM_LIST_BYTES = 16_777_216;

    /** The connect time-out in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    /**
     * The time-out of a response in milliseconds, in addition to the time that a watch waits at the
     * service.
     */
    private static final long RESPONSE_TIMEOUT_MILLIS = 5_000;

    /** The header with the revision of a value. */
    private static final HttpHeader REVISION = HttpHeaders.of("X-Revision");

    /** The HTTP status of a successful response. */
    private static final int OK = 200;

    /** The HTTP status of a watch without a change. */
    private static final int NO_CONTENT = 204;

    /** The HTTP status of a value that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The HTTP status of a read that exceeds a rate limit. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The event loop that sends. */
    private final Eventloop loop;

    /** The HTTP client. */
    private final HttpClient client;

    /** The addresses of the platform's services. */
    private final Settings.Platform settings;

    /**
     * Creates a client.
     *
     * @param loop The event loop that sends.
     * @param settings The addresses of the platform's services.
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
     * Waits for a value of the configuration service that is newer than a known revision.
     *
     * @param key The key of the value.
     * @param afterRevision The known revision, or zero to return the current value immediately.
     * @param waitMillis The milliseconds to wait at the service for a newer value.
     * @return The value, or empty if it doesn't exist or didn't change in time. The future fails
     *     with an {@link IOException} if the service cannot be read.
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
     * @return The listed entry instances and endpoints. The future fails with an {@link
     *     IOException} if the list cannot be read.
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
     * Reads the weights of a model from the weight store.
     *
     * @param model The name of the model.
     * @param version The version of the model.
     * @return {@code false} if the store's rate limit is exceeded. The future fails with an {@link
     *     IOException} if the store cannot be read.
     */
    public CompletableFuture<Boolean> readWeights(String model, String version) {
        String url =
                "%s/v1/weights/%s/%s/read"
                        .formatted(settings.weightStore(), urlEncode(model), urlEncode(version));
        return send(() -> HttpRequest.post(url).build())
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
     * Sends a GET request.
     *
     * @param url The URL.
     * @return The response.
     */
    private CompletableFuture<HttpResponse> get(String url) {
        return send(() -> HttpRequest.get(url).build());
    }

    /**
     * Sends a request from the event loop.
     *
     * @param request Builds the request; called in the event loop.
     * @return The response.
     */
    private CompletableFuture<HttpResponse> send(java.util.function.Supplier<HttpRequest> request) {
        return loop.submit(() -> client.request(request.get()));
    }

    /**
     * Loads the value from a response of the configuration service.
     *
     * @param key The key of the value.
     * @param response The response, with the revision as a header.
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
     * Loads the body of a response. It must be called in the event loop.
     *
     * @param response The response.
     * @param maximumBytes The maximum length of a body in bytes.
     * @return The bytes of the body.
     */
    private static CompletableFuture<byte[]> loadBody(HttpResponse response, int maximumBytes) {
        Promise<byte[]> bytes = response.loadBody(maximumBytes).map(ByteBuf::getArray);
        return bytes.toCompletableFuture();
    }

    /**
     * Returns a future that failed because of an unexpected status.
     *
     * @param resource What was read, for the error message.
     * @param status The HTTP status.
     * @param <T> The type of the result.
     * @return The failed future.
     */
    private static <T> CompletableFuture<T> unexpectedStatus(String resource, int status) {
        return CompletableFuture.failedFuture(
                new IOException(
                        "Cannot read %s: unexpected status %d".formatted(resource, status)));
    }

    /**
     * Percent-encodes a text for use in a path.
     *
     * @param text The text.
     * @return The encoded text.
     */
    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
