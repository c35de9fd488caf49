package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

class ZoneReachTest {

    private final ZoneReach reach = new ZoneReach("a");

    @Test
    void testUnreachableWhenAnotherZoneFellSilent() {
        reach.heard("b", 0);
        reach.heard("c", 1_500);
        reach.heard("a", 1_500);

        assertThat(reach.unreachable(1_600), contains("b"));
    }

    @Test
    void testUnreachableWhenThisInstanceHearsNobody() {
        reach.heard("a", 0);
        reach.heard("b", 0);

        assertThat(reach.unreachable(5_000), empty());
    }

    @Test
    void testUnreachableWhenZoneIsHeardAgain() {
        reach.heard("b", 0);
        reach.heard("a", 1_500);
        reach.heard("b", 1_700);

        assertThat(reach.unreachable(1_800), empty());
    }

    @Test
    void testUnreachableWhenLastInstanceOfZoneEnded() {
        reach.heard("b", 0);
        reach.forget("b");
        reach.heard("a", 1_500);

        assertThat(reach.unreachable(1_600), empty());
    }
}
