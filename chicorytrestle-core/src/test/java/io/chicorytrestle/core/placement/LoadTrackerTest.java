package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
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

    /**
     * Compares the running totals with sums over all peers, while counts are replaced and expire.
     */
    @Test
    void testEstimateWhenCountsOfManyPeersAreReplacedAndExpire() {
        Random random = new Random(7);
        Map<Integer, Integer> counts = new HashMap<>();
        Map<Integer, Long> receivedMillis = new HashMap<>();
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 100) {
            int peer = random.nextInt(30);
            int count = random.nextInt(4);
            tracker.recordPeerCounts("p" + peer, Map.of("e", count, "f", 1), nowMillis);
            counts.put(peer, count);
            receivedMillis.put(peer, nowMillis);

            long earliestMillis = nowMillis - 2_000;
            int sum =
                    counts.entrySet().stream()
                            .filter(
                                    entry ->
                                            receivedMillis.getOrDefault(entry.getKey(), 0L)
                                                    >= earliestMillis)
                            .mapToInt(Map.Entry::getValue)
                            .sum();
            assertThat(tracker.estimate("e", nowMillis), equalTo(sum));
        }
    }
}
