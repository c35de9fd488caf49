package io.chicorytrestle.core.pause;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PauseDetectorTest {

    private final Blackboard blackboard = new Blackboard();

    private final List<Long> dropped = new ArrayList<>();

    private final PauseDetector detector =
            new PauseDetector(blackboard, AuditTrail.NoOp.INSTANCE, List.of(dropped::add));

    @Test
    void testStepWhenProcessWasPaused() {
        detector.step(1_000);
        detector.step(1_050);
        assertThat(blackboard.read(Topics.HEARTBEAT).isFresh(9_000), is(false));
        detector.step(9_000);
        assertThat(dropped, is(List.of(9_000L)));
        assertThat(blackboard.read(Topics.HEARTBEAT), is(new ProcessHeartbeat(9_000, 1)));
    }

    @Test
    void testStepWhenProcessRuns() {
        for (long now = 1_000; now < 9_000; now += ProcessHeartbeat.MAXIMUM_GAP_MILLIS) {
            detector.step(now);
        }
        assertThat(dropped, is(List.of()));
    }
}
