package io.chicorytrestle.core.limit;

import java.util.HashMap;
import java.util.Map;

/** Keeps this instance's part of each service's retry budget. It is confined to one thread. */
public final class RetryBudgets {

    /** Divides the fleet's allowance. */
    private final RetryAllowance allowance;

    /** The budgets by service. */
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /** The largest number of instances that were known at any time. */
    private int maximumInstances;

    /**
     * Creates new budgets.
     *
     * @param share Divides the fleet's allowance.
     */
    public RetryBudgets(RetryAllowance share) {
        this.allowance = share;
    }

    /**
     * Returns the budget of a service.
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
     * Takes note of how many instances are known. Fewer than before change nothing, since those out
     * of sight may still spend their parts.
     *
     * @param instances The number of known instances with this one.
     */
    public void recordInstanceCount(int instances) {
        if (instances > maximumInstances) {
            maximumInstances = instances;
            double savedRetries = allowance.maximumBalance(instances);
            budgets.values().forEach(budget -> budget.setMaximumBalance(savedRetries));
        }
    }
}
