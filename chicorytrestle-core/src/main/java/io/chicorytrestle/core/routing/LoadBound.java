package io.chicorytrestle.core.routing;

/**
 * Bounds the work in flight on one endpoint to a multiple of its pool's mean, by capacity.
 *
 * @param multiple The multiple of the mean load that no endpoint may exceed.
 * @param ceilingRequests The most requests in flight on one endpoint.
 */
public record LoadBound(double multiple, int ceilingRequests) {

    /** The part of a request below which rounding errors are ignored. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /**
     * Returns the most requests that may be in flight on an endpoint once one more is admitted to
     * its pool.
     *
     * @param poolRequests The requests in flight in the pool before the admission.
     * @param capacity The capacity of the endpoint.
     * @param poolCapacity The capacity of the pool.
     * @return The most requests in flight on the endpoint, the admitted one included.
     */
    public int maximumRequests(long poolRequests, long capacity, long poolCapacity) {
        double part = (double) capacity / Math.max(capacity, poolCapacity);
        double bound =
                Math.ceil(multiple * Math.max(1, poolRequests + 1) * part - ROUNDING_TOLERANCE);
        return (int) Math.min(ceilingRequests, bound);
    }
}
