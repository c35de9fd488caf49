package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadTrackerTest {

    private final LoadTracker tracker = new LoadTracker();

    @Test
    void testEstimateWhenPeersCarryRequests() {
        tracker.recordStart("e");
        tracker.recordPeerCounts("p", Map.of("e", 3), 0);
        tracker.recordPeerCounts("q", Map.of("e", 2), 0);

        assertThat(tracker.estimate("e", 100), equalTo(6));
    }

    @Test
    void testEstimateWhenPeerCountsAreOutdated() {
        tracker.recordPeerCounts("p", Map.of("e", 3), 0);

        assertThat(tracker.estimate("e", 2_001), equalTo(0));
    }

    @Test
    void testEstimateWhenOnlySomePeersSentCounts() {
        tracker.setExpectedPeers(4);
        tracker.recordPeerCounts("p", Map.of("e", 3), 0);
        tracker.recordPeerCounts("q", Map.of("e", 1), 0);

        assertThat(tracker.estimate("e", 0), equalTo(8));
    }

    @Test
    void testEstimateWhenReportIsHigher() {
        tracker.recordStart("e");
        tracker.recordReport("e", 9, 0);

        assertThat(tracker.estimate("e", 100), equalTo(9));
        assertThat(tracker.estimate("e", 401), equalTo(1));
    }

    @Test
    void testEstimateWhenRequestsEnded() {
        tracker.recordStart("e");
        tracker.recordEnd("e");
        tracker.recordEnd("e");

        assertThat(tracker.estimate("e", 0), equalTo(0));
    }
}
