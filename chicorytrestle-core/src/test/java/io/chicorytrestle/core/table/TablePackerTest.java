package io.chicorytrestle.core.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.ByteRange;

class TablePackerTest {

    @Property(tries = 100, seed = "71")
    void testUnpackWhenDifferenceIsApplied(
            @ForAll("tables") Table older, @ForAll("tables") Table newer) throws IOException {
        TableParseResult.Accepted target = accepted(2, newer);
        TableParseResult.Accepted base = accepted(1, older);
        assertThat(packAndUnpack(Optional.of(base), target, 0, false), is(Optional.of(target)));
    }

    @Property(tries = 100, seed = "72")
    void testAddWhenPartsAreShuffledAndRepeated(@ForAll("tables") Table table, @ForAll long shuffle)
            throws IOException {
        TableParseResult.Accepted target = accepted(2, table);
        assertThat(packAndUnpack(Optional.empty(), target, shuffle, true), is(Optional.of(target)));
    }

    @Property(tries = 200, seed = "73")
    void testUnpackWhenBytesAreArbitrary(@ForAll @ByteRange(min = -128) byte[] bytes) {
        TableMessages.Part part =
                new TableMessages.Part(0, 2, "", 0, 1, new byte[0], List.of(), List.of());
        try {
            TableParseResult result = TablePacker.INSTANCE.unpack(Table.EMPTY, part, bytes);
            assertThat(result instanceof TableParseResult.Refused, is(true));
        } catch (IOException expected) {
            assertThat(expected.getClass().getName().isEmpty(), is(false));
        }
    }

    private static Optional<TableParseResult> packAndUnpack(
            Optional<TableParseResult.Accepted> base,
            TableParseResult.Accepted target,
            long shuffle,
            boolean repeated)
            throws IOException {
        List<TableMessages.Part> parts = new ArrayList<>(TablePacker.INSTANCE.pack(base, target));
        if (repeated) {
            Collections.shuffle(parts, new Random(shuffle));
            parts.addAll(0, parts.subList(0, parts.size() / 2));
        }
        TablePartAssembler assembler = new TablePartAssembler();
        for (TableMessages.Part part : parts) {
            Optional<TablePartAssembler.AssembledTable> assembled = assembler.add(part);
            if (assembled.isPresent()) {
                return Optional.of(
                        TablePacker.INSTANCE.unpack(
                                base.map(TableParseResult.Accepted::table).orElse(Table.EMPTY),
                                assembled.get().firstPart(),
                                assembled.get().content()));
            }
        }
        return Optional.empty();
    }

    private static TableParseResult.Accepted accepted(long version, Table table) {
        return TableParseResult.Accepted.of(new Table(version, table.workspaces(), table.pools()));
    }

    @Provide
    Arbitrary<Table> tables() {
        return Arbitraries.integers()
                .between(0, WorkspaceRow.MAXIMUM_CEILING_REQUESTS)
                .list()
                .ofMaxSize(200)
                .map(
                        ceilings -> {
                            Map<String, WorkspaceRow> rows = new HashMap<>();
                            for (int ceiling : ceilings) {
                                String name = "workspace-" + ceiling % 300;
                                rows.put(name, new WorkspaceRow(name, 1, ceiling, 5, 10));
                            }
                            return new Table(1, rows, Map.of());
                        });
    }
}
