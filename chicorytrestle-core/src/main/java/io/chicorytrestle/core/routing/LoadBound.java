package io.chicorytrestle.core.routing;

/**
 * Limits the work in flight on one endpoint to a multiple of the pool's mean load, weighted by
 * capacity.
 *
 * @param multiple The multiple of the mean load that no endpoint may exceed.
 * @param ceilingRequests The maximum number of requests in flight on one endpoint.
 */
public record LoadBound(double multiple, int ceilingRequests) {

    /** The fraction of a request below which rounding errors are ignored. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /**
     * Returns the maximum number of requests that may be in flight on an endpoint once one more is
     * admitted to its pool.
     *
     * @param poolRequests The requests in flight in the pool before the admission.
     * @param capacity The capacity of the endpoint, in requests.
     * @param poolCapacity The capacity of the pool, in requests.
     * @return The maximum, including the request to admit.
     */
    public int maximumRequests(long poolRequests, long capacity, long poolCapacity) {
        double capacityShare = (double) capacity / Math.max(capacity, poolCapacity);
        double bound =
                Math.ceil(
                        multiple * Math.max(1, poolRequests + 1) * capacityShare
                                - ROUNDING_TOLERANCE);
        return (int) Math.min(ceilingRequests, bound);
    }
}
