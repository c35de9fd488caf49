package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class StaleLoadChooserTest {

    private static final ServingEndpoint FIRST = Endpoints.ready("1", "b");

    private static final ServingEndpoint SECOND = Endpoints.ready("2", "b");

    private static final ServingEndpoint OWN_ZONE = Endpoints.ready("3", "a");

    private static final int CHOICES = 1_000;

    private final LoadTracker tracker = new LoadTracker();

    private final StaleLoadChooser chooser =
            new StaleLoadChooser("a", tracker, new SplittableRandom(1));

    @Test
    void testChooseWhenOnlyThisInstanceSends() {
        for (int request = 0; request < 200; request++) {
            tracker.recordStart(chooser.choose(List.of(FIRST, SECOND), 0).incarnation());

            int difference =
                    tracker.ownCounts(FIRST.incarnation())
                            - tracker.ownCounts(SECOND.incarnation());
            assertThat(Math.abs(difference), lessThan(2));
        }
    }

    @Test
    void testChooseWhenCountsBecomeOld() {
        tracker.setExpectedPeers(1);
        tracker.recordPeerCounts("p", Map.of(FIRST.incarnation(), 20), 0);

        assertThat(firstChoices(0), equalTo(0));
        assertThat(firstChoices(500), both(greaterThan(150)).and(lessThan(300)));
        assertThat(firstChoices(1_900), greaterThan(450));
    }

    @Test
    void testChooseWhenAllCountsAreLost() {
        tracker.setExpectedPeers(34);
        tracker.recordStart(FIRST.incarnation());

        assertThat(firstChoices(0), greaterThan(450));
    }

    @Test
    void testChooseWhenOwnZoneIsLittleMoreLoaded() {
        tracker.recordReport(OWN_ZONE.incarnation(), 20, 0);
        assertThat(chooser.choose(List.of(FIRST, OWN_ZONE), 0), equalTo(OWN_ZONE));

        tracker.recordReport(OWN_ZONE.incarnation(), 30, 0);
        assertThat(chooser.choose(List.of(FIRST, OWN_ZONE), 0), equalTo(FIRST));
    }

    @Test
    void testMaximumPercentWhenOneEndpointCarriesMore() {
        tracker.recordReport(FIRST.incarnation(), 9, 0);
        tracker.recordReport(SECOND.incarnation(), 3, 0);

        assertThat(
                LoadSpread.maximumPercent(List.of(List.of(FIRST, SECOND)), tracker, 0),
                equalTo(150L));
        assertThat(LoadSpread.maximumPercent(List.of(List.of()), tracker, 0), equalTo(100L));
    }

    private int firstChoices(long nowMillis) {
        int count = 0;
        for (int choice = 0; choice < CHOICES; choice++) {
            if (chooser.choose(List.of(FIRST, SECOND), nowMillis).equals(FIRST)) {
                count++;
            }
        }
        return count;
    }
}
