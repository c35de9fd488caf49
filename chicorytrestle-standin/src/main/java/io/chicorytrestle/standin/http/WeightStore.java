package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

/** Stands in for the weight store, which limits the rate of reads and holds no real weights. */
final class WeightStore {

    /** The status of a read above the rate limit. */
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    /** The event loop. */
    private final NioReactor reactor;

    /** Counts and limits the reads. */
    private final ReadRateLimiter rateLimiter;

    /**
     * Creates a new store.
     *
     * @param reactor The event loop.
     * @param readsPerSecond The maximum number of reads a second.
     */
    WeightStore(NioReactor reactor, int readsPerSecond) {
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
                .with(HttpMethod.POST, "/v1/weights/:model/:version/read", this::handleRead)
                .build();
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
     * Handles a read of a model's weights.
     *
     * @param request The request.
     * @return The model and its version as JSON, or status 429 above the rate limit.
     */
    private Promise<HttpResponse> handleRead(HttpRequest request) {
        return rateLimiter.tryAcquire(reactor.currentTimeMillis())
                ? JsonResponses.ok(request.getPathParameters())
                : JsonResponses.ofStatus(STATUS_TOO_MANY_REQUESTS);
    }
}
