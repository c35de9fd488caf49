package io.chicorytrestle.core.table;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import java.util.List;
import java.util.Map;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

@Param(name = "version", gen = IntGen.class, conf = "1:3")
@Param(name = "digest", gen = IntGen.class, conf = "1:2")
public class TableRegistryLincheckTest {

    private static final List<Table> TABLES =
            List.of(
                    Table.EMPTY,
                    new Table(1, Map.of(), Map.of()),
                    new Table(2, Map.of(), Map.of()),
                    new Table(3, Map.of(), Map.of()));

    private final TableRegistry registry =
            new TableRegistry(new Blackboard(), AuditTrail.NoOp.INSTANCE);

    @Operation
    public TableRegistry.OfferResult offer(
            @Param(name = "version") int version, @Param(name = "digest") int digest) {
        return registry.offer(
                new TableParseResult.Accepted(TABLES.get(version), Integer.toString(digest)),
                "test",
                0);
    }

    @Operation
    public long version() {
        return registry.current().table().version();
    }

    @Test
    void testOfferWhenThreadsInterleave() {
        new ModelCheckingOptions()
                .iterations(3)
                .invocationsPerIteration(50)
                .threads(2)
                .actorsPerThread(3)
                .check(TableRegistryLincheckTest.class);
    }
}
