package io.chicorytrestle.gateway.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks what instances believe about crashing requests under random orders of crashes, failures,
 * successes, notices and restarts. For other seeds: {@code -Dcrash.orders.seeds=FIRST-LAST}.
 */
class CrashOrdersTest {

    private static final String SEED_RANGE = System.getProperty("crash.orders.seeds", "1-300");

    @Test
    void testQuarantineInRandomOrders() {
        String[] bounds = SEED_RANGE.split("-", -1);
        List<String> broken = new ArrayList<>();
        int quarantines = 0;
        for (long seed = Long.parseLong(bounds[0]);
                seed <= Long.parseLong(bounds[1]) && broken.isEmpty();
                seed++) {
            CrashOrder order = new CrashOrder(seed);
            order.play();
            quarantines += order.hasQuarantined() ? 1 : 0;
            broken.addAll(order.violations());
        }
        assertThat(String.join("\n", broken), broken, is(empty()));
        assertThat(quarantines, greaterThan(0));
    }
}
