package io.chicorytrestle.core.placement;

/**
 * Counts the recent requests to an endpoint and their failures. The counts are fractional, since
 * older requests count less.
 *
 * @param ended The number of requests that ended.
 * @param failed The number of those that failed.
 */
public record Outcomes(double ended, double failed) {

    /** No requests. */
    static final Outcomes NONE = new Outcomes(0, 0);

    /** Rejects negative counts and NaN. */
    public Outcomes {
        if (!(ended >= 0) || !(failed >= 0)) {
            throw new IllegalArgumentException(
                    "Outcome counts must not be negative: " + ended + ", " + failed);
        }
    }

    /**
     * Adds other outcomes.
     *
     * @param other The other outcomes.
     * @return The sums.
     */
    Outcomes plus(Outcomes other) {
        return new Outcomes(ended + other.ended, failed + other.failed);
    }

    /**
     * Scales both counts, by which older outcomes lose weight.
     *
     * @param factor The factor, from zero to one.
     * @return The products.
     */
    Outcomes scaledBy(double factor) {
        return new Outcomes(ended * factor, failed * factor);
    }
}
