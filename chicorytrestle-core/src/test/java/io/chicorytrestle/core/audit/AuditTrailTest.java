package io.chicorytrestle.core.audit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class AuditTrailTest {

    @Test
    void testAfterWhenOldEventsWereDropped() {
        AuditTrail.ForMemory trail = new AuditTrail.ForMemory(2);
        for (int count = 0; count < 4; count++) {
            trail.record(new AuditEvent(AuditEvent.Kind.DRAIN, "own", "test", 1, count, Map.of()));
        }
        assertThat(
                trail.entriesAfter(0).stream().map(AuditTrail.ForMemory.Entry::sequence).toList(),
                is(List.of(3L, 4L)));
        assertThat(trail.entriesAfter(3).size(), is(1));
    }
}
