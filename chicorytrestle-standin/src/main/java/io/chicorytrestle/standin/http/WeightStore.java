package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

/** Stands in for the weight store with its rate limit. */
final class WeightStore {

    /** The status above the rate limit. */
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    /** The event loop. */
    private final NioReactor reactor;

    /** Counts the reads. */
    private final ReadRateLimiter rateLimiter;

    /**
     * Creates a new store.
     *
     * @param reactor The event loop.
     * @param readsPerSecond The reads that are allowed a second.
     */
    WeightStore(NioReactor reactor, int readsPerSecond) {
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
                .with(HttpMethod.POST, "/v1/weights/:model/:version/read", this::handleRead)
                .build();
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
     * Answers a read.
     *
     * @param request The request.
     * @return The answer.
     */
    private Promise<HttpResponse> handleRead(HttpRequest request) {
        return rateLimiter.tryAcquire(reactor.currentTimeMillis())
                ? JsonResponses.ok(request.getPathParameters())
                : JsonResponses.ofStatus(STATUS_TOO_MANY_REQUESTS);
    }
}
