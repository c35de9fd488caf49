package io.chicorytrestle.core.placement;

import java.util.Collection;
import java.util.List;

/**
 * Measures how unevenly the estimated load is spread over the endpoints of a service, by which an
 * operator sees that instances choose alike.
 */
public final class LoadSpread {

    /** The mean number of requests at an endpoint below which a spread tells nothing. */
    private static final double MINIMUM_MEAN_REQUESTS = 1;

    /** The factor from a ratio to a percentage. */
    private static final double PERCENT = 100;

    /** Not instantiated. */
    private LoadSpread() {}

    /**
     * Returns the highest load relative to the mean of its service, over all services that carry at
     * least one request an endpoint.
     *
     * @param services The endpoints of each service.
     * @param loadTracker Estimates the load of each endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The highest load in percent of the mean, or 100 if no service carries that many.
     */
    public static long maximumPercent(
            Collection<List<ServingEndpoint>> services, LoadTracker loadTracker, long nowMillis) {
        double maximumRatio = 1;
        for (List<ServingEndpoint> endpoints : services) {
            int sum = 0;
            int maximum = 0;
            for (ServingEndpoint endpoint : endpoints) {
                int load = loadTracker.estimate(endpoint.incarnation(), nowMillis);
                sum += load;
                maximum = Math.max(maximum, load);
            }
            if (sum >= MINIMUM_MEAN_REQUESTS * endpoints.size() && sum > 0) {
                maximumRatio = Math.max(maximumRatio, (double) maximum * endpoints.size() / sum);
            }
        }
        return Math.round(PERCENT * maximumRatio);
    }
}
