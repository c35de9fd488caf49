package io.chicorytrestle.core.placement;

/**
 * Holds how the latest requests to an endpoint ended, older ones counting less.
 *
 * @param ended The requests that ended.
 * @param failed Those of them that failed.
 */
public record Outcomes(double ended, double failed) {

    /** No requests. */
    static final Outcomes NONE = new Outcomes(0, 0);

    /** Checks the counts. */
    public Outcomes {
        if (!(ended >= 0) || !(failed >= 0)) {
            throw new IllegalArgumentException("Outcomes are negative: " + ended + ", " + failed);
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
     * Lets the outcomes count less.
     *
     * @param factor The factor, from zero to one.
     * @return The products.
     */
    Outcomes scaledBy(double factor) {
        return new Outcomes(ended * factor, failed * factor);
    }
}
