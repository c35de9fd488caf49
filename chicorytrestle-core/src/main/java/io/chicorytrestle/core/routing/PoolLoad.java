package io.chicorytrestle.core.routing;

/**
 * A conservative estimate of a pool's load: never more work and never less capacity than there may
 * actually be.
 *
 * @param liveRequests The requests in flight on endpoints that accept work.
 * @param liveCapacity The capacity of these endpoints.
 * @param allRequests The requests in flight, including those on endpoints that began to leave.
 * @param allCapacity The capacity, including that of endpoints that began to leave.
 */
record PoolLoad(long liveRequests, long liveCapacity, long allRequests, long allCapacity) {

    /**
     * Returns the maximum number of requests that may be in flight on an endpoint. It holds whether
     * or not every entry instance already knows of the leaving endpoints.
     *
     * @param bound The load bound.
     * @param capacity The endpoint's capacity.
     * @return The maximum, including the request to admit.
     */
    int maximumRequests(LoadBound bound, int capacity) {
        int live = bound.maximumRequests(liveRequests, capacity, liveCapacity);
        int all = bound.maximumRequests(allRequests, capacity, allCapacity);
        return Math.min(capacity, Math.min(live, all));
    }
}
