package io.chicorytrestle.core.routing;

/**
 * The settings of request routing.
 *
 * @param leaseMillis The milliseconds for which an entry instance may use a leader's grants without
 *     a renewal.
 * @param replyTimeoutMillis The maximum time to wait for another entry instance's reply, in
 *     milliseconds.
 * @param placementAgeMillis The milliseconds after which a placement token is ignored.
 * @param placementKeys The keys that authenticate placement tokens.
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
     * Validates the settings.
     *
     * @throws IllegalArgumentException If a duration is less than one millisecond.
     */
    public RoutingSettings {
        if (leaseMillis < 1 || replyTimeoutMillis < 1 || placementAgeMillis < 1) {
            throw new IllegalArgumentException(
                    "Durations must be positive: lease %d, reply time-out %d, placement age %d"
                            .formatted(leaseMillis, replyTimeoutMillis, placementAgeMillis));
        }
    }

    /**
     * Returns these settings with other placement keys.
     *
     * @param placementKeys The keys.
     * @return The settings.
     */
    public RoutingSettings withPlacementKeys(PlacementKeys placementKeys) {
        return new RoutingSettings(
                leaseMillis, replyTimeoutMillis, placementAgeMillis, placementKeys);
    }
}
