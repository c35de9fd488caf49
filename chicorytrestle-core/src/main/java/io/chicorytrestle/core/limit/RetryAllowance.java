package io.chicorytrestle.core.limit;

/**
 * Divides a fleet's allowance of retries among its instances without coordination. The loss of an
 * endpoint or of an availability zone causes a burst of failures, in which each instance needs
 * several retries at once and none can consult the others.
 *
 * @param ratio The number of retries that the fleet may make for each request, from zero to one.
 * @param slack The number of retries that the fleet may make in each window beyond the ratio.
 */
public record RetryAllowance(double ratio, double slack) {

    /**
     * The share of the ratio that is used. A margin is left because a request and its retries may
     * fall into different windows.
     */
    private static final double USED_RATIO_SHARE = 0.8;

    /**
     * The share of the slack that is used. A margin is left because an instance may not know all
     * others.
     */
    private static final double USED_SLACK_SHARE = 0.75;

    /** The lowest maximum balance of an instance: enough for one request that fails twice. */
    private static final double LOWEST_MAXIMUM_BALANCE = 2;

    /** The highest maximum balance of an instance, since it may know only a part of the fleet. */
    private static final double HIGHEST_MAXIMUM_BALANCE = 8;

    /** Rejects values that are out of range. */
    public RetryAllowance {
        if (!(ratio >= 0 && ratio <= 1) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "Retry ratio must be from 0 to 1 and retry slack at least 0: "
                            + ratio
                            + ", "
                            + slack);
        }
    }

    /**
     * Returns the maximum balance of an instance's budget.
     *
     * @param instances The largest number of instances known at any time, this one included.
     * @return The number of retries, which falls as the number of instances grows.
     */
    public double maximumBalance(int instances) {
        double part = USED_SLACK_SHARE * slack / Math.max(1, instances);
        return Math.max(LOWEST_MAXIMUM_BALANCE, Math.min(HIGHEST_MAXIMUM_BALANCE, part));
    }

    /**
     * Returns the budget of an instance that has just started. It starts low, since the process
     * that ran before a restart may have spent its own budget.
     *
     * @return A new budget with the lowest maximum balance.
     */
    public RetryBudget newBudget() {
        return new RetryBudget(ratio * USED_RATIO_SHARE, LOWEST_MAXIMUM_BALANCE);
    }
}
