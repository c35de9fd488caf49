package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

class ZoneReachabilityTest {

    private final ZoneReachability reachability = new ZoneReachability("a");

    @Test
    void testUnreachableWhenContactWithAnotherZoneIsLost() {
        reachability.recordContact("b", 0);
        reachability.recordContact("c", 1_500);
        reachability.recordContact("a", 1_500);

        assertThat(reachability.unreachable(1_600), contains("b"));
    }

    @Test
    void testUnreachableWhenThisInstanceIsIsolated() {
        reachability.recordContact("a", 0);
        reachability.recordContact("b", 0);

        assertThat(reachability.unreachable(5_000), empty());
    }

    @Test
    void testUnreachableWhenContactWithZoneReturns() {
        reachability.recordContact("b", 0);
        reachability.recordContact("a", 1_500);
        reachability.recordContact("b", 1_700);

        assertThat(reachability.unreachable(1_800), empty());
    }

    @Test
    void testUnreachableWhenLastInstanceOfZoneEnded() {
        reachability.recordContact("b", 0);
        reachability.removeZone("b");
        reachability.recordContact("a", 1_500);

        assertThat(reachability.unreachable(1_600), empty());
    }
}
