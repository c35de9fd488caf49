package io.chicorytrestle.core.placement;

/**
 * Holds what bounds the choice of an endpoint.
 *
 * @param zone The availability zone of this instance.
 * @param loadMultiple The largest multiple of the mean load that an endpoint may carry.
 * @param loadSlack The requests beyond that multiple that an endpoint may carry.
 */
public record PlacementSettings(String zone, double loadMultiple, double loadSlack) {

    /** Checks the bounds. */
    public PlacementSettings {
        if (!(loadMultiple >= 1) || !(loadSlack >= 0)) {
            throw new IllegalArgumentException(
                    "Load bound is out of range: " + loadMultiple + ", " + loadSlack);
        }
    }
}
