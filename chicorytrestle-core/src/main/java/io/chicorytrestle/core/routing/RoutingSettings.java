package io.chicorytrestle.core.routing;

/**
 * Holds the settings of the choice of endpoints.
 *
 * @param leaseMillis The milliseconds for which an entry instance may use what a steward granted
 *     unless it renews.
 * @param replyTimeoutMillis The most milliseconds to wait for another entry instance's answer.
 * @param placementAgeMillis The milliseconds after which a placement token is no longer believed.
 * @param placementKeys The keys of placement tokens.
 */
public record RoutingSettings(
        long leaseMillis,
        long replyTimeoutMillis,
        long placementAgeMillis,
        PlacementKeys placementKeys) {

    /** The default settings. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(3_000, 300, 86_400_000, PlacementKeys.NONE);

    /**
     * Creates new settings.
     *
     * @throws IllegalArgumentException If a duration is not positive.
     */
    public RoutingSettings {
        if (leaseMillis < 1 || replyTimeoutMillis < 1 || placementAgeMillis < 1) {
            throw new IllegalArgumentException(
                    "Cannot use durations below one millisecond: %d, %d, %d"
                            .formatted(leaseMillis, replyTimeoutMillis, placementAgeMillis));
        }
    }

    /**
     * Returns these settings with other keys of placement tokens.
     *
     * @param placementKeys The keys.
     * @return The settings.
     */
    public RoutingSettings withPlacementKeys(PlacementKeys placementKeys) {
        return new RoutingSettings(
                leaseMillis, replyTimeoutMillis, placementAgeMillis, placementKeys);
    }
}
