package io.chicorytrestle.core.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TableRegistryTest {

    private final Blackboard blackboard = new Blackboard();

    private final AuditTrail.ForMemory auditTrail = new AuditTrail.ForMemory(100);

    private final TableRegistry registry = new TableRegistry(blackboard, auditTrail);

    @Test
    void testOfferWhenVersionIsHigher() {
        registry.offer(table(1, 10), "test", 0);
        assertThat(registry.offer(table(2, 20), "test", 5), is(TableRegistry.OfferResult.ACCEPTED));
        assertThat(blackboard.read(Topics.TABLE).version(), is(2L));
        AuditEvent last = auditTrail.events().get(auditTrail.events().size() - 1);
        assertThat(last.kind(), is(AuditEvent.Kind.CELL_CHANGED));
        assertThat(last.details(), is(Map.of("column", "ceiling", "old", "10", "new", "20")));
    }

    @Test
    void testOfferWhenVersionIsLower() {
        registry.offer(table(2, 20), "test", 0);
        assertThat(registry.offer(table(1, 10), "test", 5), is(TableRegistry.OfferResult.OLDER));
        assertThat(registry.current().table().version(), is(2L));
    }

    @Test
    void testOfferWhenVersionIsEqualAndContentDiffers() {
        registry.offer(table(2, 20), "test", 0);
        registry.offer(table(2, 21), "other", 5);
        registry.offer(table(2, 21), "other", 6);
        assertThat(registry.current(), is(table(2, 20)));
        assertThat(count(AuditEvent.Kind.TABLE_REFUSED), is(1L));
    }

    @Test
    void testOfferWhenTableHasFaults() {
        TableParseResult refused =
                new TableParseResult.Refused(List.of(new TableFault("table", "", "", "broken")));
        assertThat(registry.offer(refused, "test", 0), is(TableRegistry.OfferResult.REFUSED));
        assertThat(count(AuditEvent.Kind.TABLE_REFUSED), is(1L));
    }

    private long count(AuditEvent.Kind kind) {
        return auditTrail.events().stream().filter(event -> event.kind() == kind).count();
    }

    private static TableParseResult.Accepted table(long version, int ceilingRequests) {
        WorkspaceRow row = new WorkspaceRow("palermo", 1, ceilingRequests, 5, 10);
        return TableParseResult.Accepted.of(new Table(version, Map.of("palermo", row), Map.of()));
    }
}
