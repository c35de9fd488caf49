package io.chicorytrestle.core.limit;

/**
 * Divides a fleet's allowance of retries among its instances. It answers the burst of failures that
 * the loss of an endpoint or of an availability zone causes, in which each instance needs several
 * retries at once and none can ask the others.
 *
 * @param ratio The retries that the fleet may make for each request.
 * @param slack The retries that the fleet may make beyond in each window.
 */
public record RetryAllowance(double ratio, double slack) {

    /** The share of the ratio that is used, since windows cut requests from their retries. */
    private static final double USED_RATIO_SHARE = 0.8;

    /** The share of the slack that is used, since an instance may not know all others. */
    private static final double USED_SLACK_SHARE = 0.75;

    /** The fewest retries that an instance saves up: one request that fails twice. */
    private static final double LOWEST_MAXIMUM_BALANCE = 2;

    /** The most retries that an instance saves up, since it may know only a part of the fleet. */
    private static final double HIGHEST_MAXIMUM_BALANCE = 8;

    /** Checks the allowance. */
    public RetryAllowance {
        if (!(ratio >= 0 && ratio <= 1) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "Allowance of retries is out of range: " + ratio + ", " + slack);
        }
    }

    /**
     * Returns how many retries an instance may save up.
     *
     * @param instances The largest number of instances that were known at any time, with this one.
     * @return The number of retries.
     */
    public double maximumBalance(int instances) {
        double part = USED_SLACK_SHARE * slack / Math.max(1, instances);
        return Math.max(LOWEST_MAXIMUM_BALANCE, Math.min(HIGHEST_MAXIMUM_BALANCE, part));
    }

    /**
     * Returns the budget of an instance that has just started, whose predecessor may have spent its
     * own.
     *
     * @return A new budget, which holds the fewest retries.
     */
    public RetryBudget newBudget() {
        return new RetryBudget(ratio * USED_RATIO_SHARE, LOWEST_MAXIMUM_BALANCE);
    }
}
