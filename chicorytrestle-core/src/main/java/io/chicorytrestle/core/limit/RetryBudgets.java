package io.chicorytrestle.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds this instance's part of the retry budget of each service. This class is not thread-safe: it
 * is confined to one thread.
 */
public final class RetryBudgets {

    /** Divides the fleet's allowance of retries among the instances. */
    private final RetryAllowance allowance;

    /** The budgets by service, created on first use. */
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /** The largest number of instances known at any time, or zero before a number is recorded. */
    private int maximumInstances;

    /**
     * Creates an empty set of budgets.
     *
     * @param allowance Divides the fleet's allowance of retries among the instances.
     */
    public RetryBudgets(RetryAllowance allowance) {
        this.allowance = allowance;
    }

    /**
     * Returns the budget of a service. A new one holds the fewest retries.
     *
     * @param service The name of the service.
     * @return The budget.
     */
    public RetryBudget forService(String service) {
        return budgets.computeIfAbsent(
                service,
                ignored -> {
                    RetryBudget budget = allowance.newBudget();
                    if (maximumInstances > 0) {
                        budget.setMaximumBalance(allowance.maximumBalance(maximumInstances));
                    }
                    return budget;
                });
    }

    /**
     * Records the number of known instances. A smaller number than before changes nothing, since
     * instances that are no longer visible may still spend their parts.
     *
     * @param instances The number of known instances, this one included.
     */
    public void recordInstanceCount(int instances) {
        if (instances > maximumInstances) {
            maximumInstances = instances;
            double maximumBalance = allowance.maximumBalance(instances);
            budgets.values().forEach(budget -> budget.setMaximumBalance(maximumBalance));
        }
    }
}
