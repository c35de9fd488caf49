package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadBookTest {

    private final LoadBook loads = new LoadBook();

    @Test
    void testEstimateWhenPeersCarryRequests() {
        loads.begin("e");
        loads.peer("p", Map.of("e", 3), 0);
        loads.peer("q", Map.of("e", 2), 0);

        assertThat(loads.estimate("e", 100), equalTo(6));
    }

    @Test
    void testEstimateWhenPeerFellSilent() {
        loads.peer("p", Map.of("e", 3), 0);

        assertThat(loads.estimate("e", 2_001), equalTo(0));
    }

    @Test
    void testEstimateWhenOnlySomePeersWereHeard() {
        loads.expectPeers(4);
        loads.peer("p", Map.of("e", 3), 0);
        loads.peer("q", Map.of("e", 1), 0);

        assertThat(loads.estimate("e", 0), equalTo(8));
    }

    @Test
    void testEstimateWhenReportIsHigher() {
        loads.begin("e");
        loads.report("e", 9, 0);

        assertThat(loads.estimate("e", 100), equalTo(9));
        assertThat(loads.estimate("e", 401), equalTo(1));
    }

    @Test
    void testEstimateWhenRequestsEnded() {
        loads.begin("e");
        loads.end("e");
        loads.end("e");

        assertThat(loads.estimate("e", 0), equalTo(0));
    }
}
