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

/** Stands in for the configuration service: values with revisions that can be read and watched. */
final class ConfigurationService {

    /** The most bytes of a value. */
    static final int MAXIMUM_VALUE_BYTES = 1024 * 1024;

    /** The longest wait of a watch. */
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    /** The status if a watched value did not change. */
    private static final int STATUS_NO_CONTENT = 204;

    /** The status of an unknown key. */
    private static final int STATUS_NOT_FOUND = 404;

    /** The status above the rate limit. */
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    /** The status while the service is down. */
    private static final int STATUS_UNAVAILABLE = 503;

    /** The header that tells a value's revision. */
    private static final HttpHeader REVISION_HEADER = HttpHeaders.of("X-Revision");

    /** The event loop. */
    private final NioReactor reactor;

    /** Counts the reads. */
    private final ReadRateLimiter rateLimiter;

    /** The published values by key. */
    private final Map<String, Value> publishedValues = new HashMap<>();

    /** The values that readers see, by key; they differ from the published ones while stale. */
    private Map<String, Value> visibleValues = publishedValues;

    /** The reads that wait. */
    private final Set<Watch> watches = new LinkedHashSet<>();

    /** How the service behaves. */
    private Mode mode = Mode.UP;

    /** The delay of each answer in milliseconds. */
    private long delayMillis;

    /**
     * Creates a new service.
     *
     * @param reactor The event loop.
     * @param readsPerSecond The reads that are allowed a second.
     */
    ConfigurationService(NioReactor reactor, int readsPerSecond) {
        this.reactor = reactor;
        rateLimiter = new ReadRateLimiter(readsPerSecond);
    }

    /**
     * Returns what answers the readers.
     *
     * @return The servlet.
     */
    AsyncServlet servlet() {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/v1/values/:key", this::handleRead)
                .build();
    }

    /**
     * Publishes a value.
     *
     * @param key The key.
     * @param bytes The value.
     * @return The value's revision.
     */
    long publish(String key, byte[] bytes) {
        Value before = publishedValues.get(key);
        Value value = new Value(before == null ? 1 : before.revision + 1, bytes);
        publishedValues.put(key, value);
        completeDueWatches();
        return value.revision;
    }

    /**
     * Switches the behaviour.
     *
     * @param mode The new behaviour.
     */
    void setMode(Mode mode) {
        this.mode = mode;
        visibleValues = mode == Mode.STALE ? new HashMap<>(visibleValues) : publishedValues;
        completeDueWatches();
    }

    /**
     * Delays each answer from now on.
     *
     * @param delayMillis The delay in milliseconds.
     */
    void setResponseDelay(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    /**
     * Returns the counts of reads.
     *
     * @return The counts.
     */
    ReadRateLimiter.Counts readCounts() {
        return rateLimiter.counts(reactor.currentTimeMillis());
    }

    /**
     * Answers a read, which may wait.
     *
     * @param request The request.
     * @return The answer.
     */
    private Promise<HttpResponse> handleRead(HttpRequest request) {
        String key = request.getPathParameter("key");
        long after = parseOrZero(request.getQueryParameter("after"));
        long wanted = parseOrZero(request.getQueryParameter("waitMillis"));
        long waitMillis = Math.min(MAXIMUM_WAIT_MILLIS, wanted);
        Promise<HttpResponse> answer = readOrWatch(key, after, waitMillis);
        return delayMillis == 0 ? answer : delayResponse(answer);
    }

    /**
     * Reads or watches a value.
     *
     * @param key The key.
     * @param after The revision that the reader knows.
     * @param waitMillis How long to wait for a newer one.
     * @return The answer.
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
        reactor.delayBackground(waitMillis, () -> completeWatch(watch, JsonResponses.ofStatus(STATUS_NO_CONTENT)));
        return watch.response.then(answer -> answer);
    }

    /** Answers the watches that need not wait any longer. */
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
     * Ends a watch, unless it ended already.
     *
     * @param watch The watch.
     * @param answer The answer.
     */
    private void completeWatch(Watch watch, Promise<HttpResponse> answer) {
        if (watches.remove(watch)) {
            rateLimiter.waiting(-1, reactor.currentTimeMillis());
            watch.response.set(answer);
        }
    }

    /**
     * Delays an answer.
     *
     * @param answer The answer.
     * @return The delayed answer.
     */
    private Promise<HttpResponse> delayResponse(Promise<HttpResponse> answer) {
        SettablePromise<Void> passed = new SettablePromise<>();
        reactor.delayBackground(delayMillis, () -> passed.set(null));
        return passed.then(ignored -> answer);
    }

    /**
     * Reads a number.
     *
     * @param text The text, or {@code null} if the parameter is missing.
     * @return The number, or zero.
     */
    private static long parseOrZero(@Nullable String text) {
        return text == null ? 0 : Long.parseLong(text);
    }

    /** Enumerates how the service behaves. */
    enum Mode {

        /** Every reader sees what was published. */
        UP,

        /** Every read fails. */
        DOWN,

        /** Readers see the values of the moment of the switch. */
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
         * Builds the answer with this value.
         *
         * @return The answer.
         */
        private Promise<HttpResponse> toResponse() {
            return HttpResponse.ok200()
                    .withHeader(REVISION_HEADER, Long.toString(revision))
                    .withBody(bytes)
                    .toPromise();
        }
    }

    /** A read that waits. */
    private static final class Watch {

        /** The key. */
        private final String key;

        /** The revision that the reader knows. */
        private final long afterRevision;

        /** Receives the answer. */
        private final SettablePromise<Promise<HttpResponse>> response;

        /**
         * Creates a new watch.
         *
         * @param key The key.
         * @param after The revision that the reader knows.
         * @param promise Receives the answer.
         */
        private Watch(String key, long after, SettablePromise<Promise<HttpResponse>> promise) {
            this.key = key;
            this.afterRevision = after;
            this.response = promise;
        }
    }
}
