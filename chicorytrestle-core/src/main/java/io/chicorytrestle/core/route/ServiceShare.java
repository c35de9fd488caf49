package io.chicorytrestle.core.route;

/**
 * States the share of a route's requests that a service receives.
 *
 * @param service The name of the service.
 * @param weight The weight of the service among those of the route, at least zero.
 */
public record ServiceShare(String service, double weight) {

    /** Checks the weight. */
    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException(
                    "Weight of service " + service + " is negative: " + weight);
        }
    }
}
