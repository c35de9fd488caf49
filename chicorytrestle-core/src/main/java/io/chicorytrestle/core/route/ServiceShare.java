package io.chicorytrestle.core.route;

/**
 * Defines the share of a route's requests that a service receives.
 *
 * @param service The name of the service.
 * @param weight The weight of the service relative to the others of the route, at least zero.
 */
public record ServiceShare(String service, double weight) {

    /** Rejects a negative weight. */
    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException(
                    "Weight of service " + service + " must not be negative: " + weight);
        }
    }
}
