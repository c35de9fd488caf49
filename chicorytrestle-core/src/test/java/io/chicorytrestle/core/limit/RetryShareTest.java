package io.chicorytrestle.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryShareTest {

    private static final double RATIO = 0.2;

    private static final double SLACK = 129;

    private static final int INSTANCES = 20;

    private static final int REQUESTS_A_WINDOW = 20;

    @Test
    void testBudgetsWhenAllInstancesMeetFailuresInOneWindow() {
        RetryShare share = new RetryShare(RATIO, SLACK);
        int spent = 0;
        for (RetryBudgets budgets : fleet(share)) {
            spent += spend(budgets);
        }

        double byRatio = RATIO * REQUESTS_A_WINDOW * INSTANCES;
        assertThat((double) spent, lessThanOrEqualTo(byRatio + SLACK));
        assertThat((double) spent, greaterThan(byRatio));
    }

    @Test
    void testBudgetWhenInstanceHasJustStarted() {
        assertThat(spend(new RetryBudgets(new RetryShare(0, SLACK))), equalTo(2));
    }

    @Test
    void testBudgetWhenOtherInstancesAreOutOfSight() {
        RetryShare share = new RetryShare(1, SLACK);
        RetryBudgets budgets = new RetryBudgets(share);
        budgets.known(INSTANCES);
        budgets.known(2);
        first(budgets, 100);

        assertThat(spendOnly(budgets), equalTo((int) share.savedRetries(INSTANCES)));
    }

    private static List<RetryBudgets> fleet(RetryShare share) {
        List<RetryBudgets> fleet = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            RetryBudgets budgets = new RetryBudgets(share);
            budgets.known(INSTANCES);
            first(budgets, REQUESTS_A_WINDOW);
            fleet.add(budgets);
        }
        return fleet;
    }

    private static int spend(RetryBudgets budgets) {
        int spent = spendOnly(budgets);
        for (int request = 0; request < REQUESTS_A_WINDOW; request++) {
            budgets.of("service").onFirstAttempt();
            spent += spendOnly(budgets);
        }
        return spent;
    }

    private static int spendOnly(RetryBudgets budgets) {
        int spent = 0;
        while (budgets.of("service").trySpend()) {
            spent++;
        }
        return spent;
    }

    private static void first(RetryBudgets budgets, int requests) {
        for (int request = 0; request < requests; request++) {
            budgets.of("service").onFirstAttempt();
        }
    }
}
