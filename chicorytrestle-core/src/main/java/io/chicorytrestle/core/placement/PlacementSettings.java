package io.chicorytrestle.core.placement;

/**
 * Holds the settings of endpoint selection.
 *
 * @param zone The availability zone of this instance.
 * @param loadMultiple The largest multiple of the mean load that an endpoint may carry, at least
 *     one.
 * @param loadSlack The number of requests that an endpoint may carry beyond that multiple, at least
 *     zero.
 * @param seed The seed of random choices, which differs for each instance.
 */
public record PlacementSettings(String zone, double loadMultiple, double loadSlack, long seed) {

    /** Rejects values that are out of range. */
    public PlacementSettings {
        if (!(loadMultiple >= 1) || !(loadSlack >= 0)) {
            throw new IllegalArgumentException(
                    "Load multiple must be at least 1 and load slack at least 0: "
                            + loadMultiple
                            + ", "
                            + loadSlack);
        }
    }
}
