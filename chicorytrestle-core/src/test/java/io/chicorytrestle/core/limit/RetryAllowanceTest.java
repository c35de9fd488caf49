package io.chicorytrestle.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryAllowanceTest {

    private static final double RATIO = 0.2;

    private static final double SLACK = 129;

    private static final int INSTANCES = 20;

    private static final int REQUESTS_PER_WINDOW = 20;

    @Test
    void testBudgetsWhenAllInstancesSeeFailuresInOneWindow() {
        RetryAllowance allowance = new RetryAllowance(RATIO, SLACK);
        int spent = 0;
        for (RetryBudgets budgets : fleet(allowance)) {
            spent += spendOverOneWindow(budgets);
        }

        double allowedByRatio = RATIO * REQUESTS_PER_WINDOW * INSTANCES;
        assertThat((double) spent, lessThanOrEqualTo(allowedByRatio + SLACK));
        assertThat((double) spent, greaterThan(allowedByRatio));
    }

    @Test
    void testBudgetWhenInstanceHasJustStarted() {
        assertThat(spendOverOneWindow(new RetryBudgets(new RetryAllowance(0, SLACK))), equalTo(2));
    }

    @Test
    void testBudgetWhenOtherInstancesAreUnreachable() {
        RetryAllowance allowance = new RetryAllowance(1, SLACK);
        RetryBudgets budgets = new RetryBudgets(allowance);
        budgets.recordInstanceCount(INSTANCES);
        budgets.recordInstanceCount(2);
        recordFirstAttempts(budgets, 100);

        assertThat(spendAvailable(budgets), equalTo((int) allowance.maximumBalance(INSTANCES)));
    }

    private static List<RetryBudgets> fleet(RetryAllowance allowance) {
        List<RetryBudgets> fleet = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            RetryBudgets budgets = new RetryBudgets(allowance);
            budgets.recordInstanceCount(INSTANCES);
            recordFirstAttempts(budgets, REQUESTS_PER_WINDOW);
            fleet.add(budgets);
        }
        return fleet;
    }

    private static int spendOverOneWindow(RetryBudgets budgets) {
        int spent = spendAvailable(budgets);
        for (int request = 0; request < REQUESTS_PER_WINDOW; request++) {
            budgets.forService("service").onFirstAttempt();
            spent += spendAvailable(budgets);
        }
        return spent;
    }

    private static int spendAvailable(RetryBudgets budgets) {
        int spent = 0;
        while (budgets.forService("service").trySpend()) {
            spent++;
        }
        return spent;
    }

    private static void recordFirstAttempts(RetryBudgets budgets, int requests) {
        for (int request = 0; request < requests; request++) {
            budgets.forService("service").onFirstAttempt();
        }
    }
}
