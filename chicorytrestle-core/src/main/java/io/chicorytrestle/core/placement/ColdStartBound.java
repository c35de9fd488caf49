package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.route.WarmUp;

/**
 * The bound on the requests that all instances together send to a cold endpoint, and how it is
 * divided among them without messages. Instances know each other only in part: after a cut each
 * side may hold instances that know the others of their side alone. The bound is therefore divided
 * by {@link #VIEWS} before it is shared out.
 *
 * @param overage The factor by which the rate that an endpoint tolerates may be exceeded.
 * @param slack The number of requests per second beyond that.
 */
public record ColdStartBound(double overage, double slack) {

    /** The number of views of the fleet, each with its own first instances, that keep the bound. */
    public static final int VIEWS = 2;

    /** Rejects values that are negative or not numbers. */
    public ColdStartBound {
        if (!(overage >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "Overage and slack of cold endpoints must not be negative: "
                            + overage
                            + ", "
                            + slack);
        }
    }

    /**
     * Returns the number of requests that the fleet may send to a cold endpoint in any second.
     *
     * @param warmUp What the endpoint tolerates.
     * @return The largest whole number that keeps the bound.
     */
    public int fleetRequests(WarmUp warmUp) {
        return (int) Math.floor(warmUp.requestsPerSecond() * overage + slack);
    }

    /**
     * Returns the number of requests that one instance may send to a cold endpoint in any second.
     *
     * @param warmUp What the endpoint tolerates.
     * @param rank The number of instances that come before it in the order for that endpoint.
     * @param instances The number of instances that were ever known, this one included.
     * @return The number of requests, zero for all but the first instances of a larger fleet.
     */
    public int instanceRequests(WarmUp warmUp, int rank, int instances) {
        int viewRequests = fleetRequests(warmUp) / VIEWS;
        if (instances < viewRequests) {
            return viewRequests / instances;
        }
        return rank < viewRequests ? 1 : 0;
    }
}
