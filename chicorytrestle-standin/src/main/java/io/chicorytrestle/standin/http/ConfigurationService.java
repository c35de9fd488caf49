package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Stands in for the configuration service, whose values have revisions and can be read or watched
 * by long polling.
 */
final class ConfigurationService {

    /** The maximum size of a value in bytes. */
    static final int MAXIMUM_VALUE_BYTES = 1024 * 1024;

    /** The maximum wait of a watch; longer ones are shortened to it. */
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    /** The status if there is no newer revision, for a read or at the end of a watch. */
    private static final int STATUS_NO_CONTENT = 204;

    /** The status of a key without a value. */
    private static final int STATUS_NOT_FOUND = 404;

    /** The status of a read above the rate limit. */
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    /** The status of every read in mode {@link Mode#DOWN}. */
    private static final int STATUS_UNAVAILABLE = 503;

    /** The response header that holds a value's revision. */
    private static final HttpHeader REVISION_HEADER = HttpHeaders.of("X-Revision");

    /** The event loop. */
    private final NioReactor reactor;

    /** Counts and limits the reads. */
    private final ReadRateLimiter rateLimiter;

    /** The latest published values by key. */
    private final Map<String, Value> publishedValues = new HashMap<>();

    /**
     * The values that reads return, by key: the published ones, or a copy from the time of the
     * switch to {@link Mode#STALE}.
     */
    private Map<String, Value> visibleValues = publishedValues;

    /** The watches that wait for a newer revision. */
    private final Set<Watch> watches = new LinkedHashSet<>();

    /** The current mode. */
    private Mode mode = Mode.UP;

    /** The delay of each response in milliseconds. */
    private long delayMillis;

    /**
     * Creates a new service.
     *
     * @param reactor The event loop.
     * @param readsPerSecond The maximum number of reads a second.
     */
    ConfigurationService(NioReactor reactor, int readsPerSecond) {
        this.reactor = reactor;
        rateLimiter = new ReadRateLimiter(readsPerSecond);
    }

    /**
     * Returns the HTTP handler of this service.
     *
     * @return The servlet.
     */
    AsyncServlet servlet() {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/v1/values/:key", this::handleRead)
                .build();
    }

    /**
     * Publishes a value under the next revision and completes the watches of its key.
     *
     * @param key The key.
     * @param bytes The value.
     * @return The value's revision, one for the first value of a key.
     */
    long publish(String key, byte[] bytes) {
        Value previous = publishedValues.get(key);
        Value value = new Value(previous == null ? 1 : previous.revision + 1, bytes);
        publishedValues.put(key, value);
        completeDueWatches();
        return value.revision;
    }

    /**
     * Switches the mode; in mode {@link Mode#DOWN} all watches fail.
     *
     * @param mode The new mode.
     */
    void setMode(Mode mode) {
        this.mode = mode;
        visibleValues = mode == Mode.STALE ? new HashMap<>(visibleValues) : publishedValues;
        completeDueWatches();
    }

    /**
     * Sets the delay of the responses to later reads.
     *
     * @param delayMillis The delay in milliseconds.
     */
    void setResponseDelay(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    /**
     * Returns the read counters.
     *
     * @return The counters at the current time.
     */
    ReadRateLimiter.Counts readCounts() {
        return rateLimiter.counts(reactor.currentTimeMillis());
    }

    /**
     * Handles a read or watch and delays its response.
     *
     * @param request The request.
     * @return The response.
     */
    private Promise<HttpResponse> handleRead(HttpRequest request) {
        String key = request.getPathParameter("key");
        long after = parseOrZero(request.getQueryParameter("after"));
        long requestedWaitMillis = parseOrZero(request.getQueryParameter("waitMillis"));
        long waitMillis = Math.min(MAXIMUM_WAIT_MILLIS, requestedWaitMillis);
        Promise<HttpResponse> response = readOrWatch(key, after, waitMillis);
        return delayMillis == 0 ? response : delayResponse(response);
    }

    /**
     * Returns a value that is newer than the reader's, or waits for one.
     *
     * @param key The key.
     * @param after The revision that the reader has, or zero for none.
     * @param waitMillis How long to wait for a newer one, zero for a read without waiting.
     * @return The response.
     */
    private Promise<HttpResponse> readOrWatch(String key, long after, long waitMillis) {
        if (mode == Mode.DOWN) {
            return JsonResponses.ofStatus(STATUS_UNAVAILABLE);
        }
        if (!rateLimiter.tryAcquire(reactor.currentTimeMillis())) {
            return JsonResponses.ofStatus(STATUS_TOO_MANY_REQUESTS);
        }
        Value value = visibleValues.get(key);
        if (value != null && value.revision > after) {
            return value.toResponse();
        }
        if (waitMillis <= 0) {
            return JsonResponses.ofStatus(value == null ? STATUS_NOT_FOUND : STATUS_NO_CONTENT);
        }
        Watch watch = new Watch(key, after, new SettablePromise<>());
        watches.add(watch);
        rateLimiter.waiting(1, reactor.currentTimeMillis());
        reactor.delayBackground(
                waitMillis, () -> completeWatch(watch, JsonResponses.ofStatus(STATUS_NO_CONTENT)));
        return watch.response.then(response -> response);
    }

    /**
     * Completes the watches whose value has become newer, or all of them while the service is down.
     */
    private void completeDueWatches() {
        for (Watch watch : List.copyOf(watches)) {
            Value value = visibleValues.get(watch.key);
            if (mode == Mode.DOWN) {
                completeWatch(watch, JsonResponses.ofStatus(STATUS_UNAVAILABLE));
            } else if (value != null && value.revision > watch.afterRevision) {
                completeWatch(watch, value.toResponse());
            }
        }
    }

    /**
     * Completes a watch, unless it is complete already.
     *
     * @param watch The watch.
     * @param response The response.
     */
    private void completeWatch(Watch watch, Promise<HttpResponse> response) {
        if (watches.remove(watch)) {
            rateLimiter.waiting(-1, reactor.currentTimeMillis());
            watch.response.set(response);
        }
    }

    /**
     * Delays a response.
     *
     * @param response The response.
     * @return The delayed response.
     */
    private Promise<HttpResponse> delayResponse(Promise<HttpResponse> response) {
        SettablePromise<Void> delayElapsed = new SettablePromise<>();
        reactor.delayBackground(delayMillis, () -> delayElapsed.set(null));
        return delayElapsed.then(ignored -> response);
    }

    /**
     * Parses a query parameter.
     *
     * @param text The text, or {@code null} if the parameter is missing.
     * @return The number, or zero if the parameter is missing.
     */
    private static long parseOrZero(@Nullable String text) {
        return text == null ? 0 : Long.parseLong(text);
    }

    /** The modes of the service. */
    enum Mode {

        /** Reads return the latest published values. */
        UP,

        /** Every read fails with status 503. */
        DOWN,

        /** Reads return the values from the time of the switch to this mode. */
        STALE
    }

    /** A value with its revision. */
    private static final class Value {

        /** The revision. */
        private final long revision;

        /** The value. */
        private final byte[] bytes;

        /**
         * Creates a new value.
         *
         * @param revision The revision.
         * @param bytes The value.
         */
        private Value(long revision, byte[] bytes) {
            this.revision = revision;
            this.bytes = bytes;
        }

        /**
         * Builds a response with this value as the body and its revision as a header.
         *
         * @return The response.
         */
        private Promise<HttpResponse> toResponse() {
            return HttpResponse.ok200()
                    .withHeader(REVISION_HEADER, Long.toString(revision))
                    .withBody(bytes)
                    .toPromise();
        }
    }

    /** A long-polling read that waits for a newer revision. */
    private static final class Watch {

        /** The key. */
        private final String key;

        /** The revision that the reader has, or zero for none. */
        private final long afterRevision;

        /** Completed with the response. */
        private final SettablePromise<Promise<HttpResponse>> response;

        /**
         * Creates a new watch.
         *
         * @param key The key.
         * @param afterRevision The revision that the reader has, or zero for none.
         * @param response Completed with the response.
         */
        private Watch(
                String key, long afterRevision, SettablePromise<Promise<HttpResponse>> response) {
            this.key = key;
            this.afterRevision = afterRevision;
            this.response = response;
        }
    }
}
