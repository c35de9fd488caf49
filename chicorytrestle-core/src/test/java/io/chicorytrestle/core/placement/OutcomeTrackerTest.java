package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import org.junit.jupiter.api.Test;

class OutcomeTrackerTest {

    private final OutcomeTracker tracker = new OutcomeTracker();

    @Test
    void testFailureRateWhenRequestsFail() {
        for (int answers = 0; answers < 10; answers++) {
            tracker.recordOutcome("e", false, 0);
        }

        assertThat(tracker.failureRate("e", 0), greaterThan(0.7));
    }

    @Test
    void testFailureRateWhenOneRequestFailed() {
        tracker.recordOutcome("e", false, 0);

        assertThat(tracker.failureRate("e", 0), closeTo(0.2, 1e-9));
    }

    @Test
    void testFailureRateWhenPeersReportFailures() {
        for (String peer : new String[] {"a", "b", "c"}) {
            tracker.recordPeerOutcomes(peer, Map.of("e", new Outcomes(2, 1)), 0);
        }

        assertThat(tracker.failureRate("e", 0), closeTo(0.3, 1e-9));
    }

    @Test
    void testFailureRateWhenPeerReportsAgain() {
        tracker.recordPeerOutcomes("a", Map.of("e", new Outcomes(4, 4)), 0);
        tracker.recordPeerOutcomes("a", Map.of("e", new Outcomes(4, 0)), 400);

        assertThat(tracker.failureRate("e", 400), equalTo(0.0));
    }

    @Test
    void testFailureRateWhenTimePassed() {
        for (int answers = 0; answers < 8; answers++) {
            tracker.recordOutcome("e", false, 0);
        }

        assertThat(tracker.failureRate("e", 12_000), lessThan(0.2));
    }

    @Test
    void testOwnOutcomesWhenOutcomesDecayed() {
        tracker.recordOutcome("e", false, 0);
        tracker.removeNegligible(30_000);

        assertThat(tracker.ownOutcomes(30_000), equalTo(Map.of()));
    }
}
