package io.chicorytrestle.core.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class TableParserTest {

    private static final String POOLS = "pools:\n  - {name: booking, kind: service, ceiling: 64}\n";

    @Test
    void testParseWhenColumnsAreLeftOut() {
        TableParseResult.Accepted result =
                accepted("version: 3\nworkspaces:\n  - {name: palermo, ceiling: 80}\n" + POOLS);
        assertThat(
                result.table().workspaces().get("palermo"),
                is(new WorkspaceRow("palermo", 1, 80, 5, 100)));
    }

    @Test
    void testParseWhenThreeCellsAreWrong() {
        List<TableFault> faults =
                faults(
                        """
                        version: 0
                        workspaces:
                          - {name: palermo, ceiling: 80, share: -1}
                          - {name: palermo, ceiling: 80, colour: red}
                        """
                                + POOLS);
        assertThat(
                faults.stream().map(fault -> fault.row() + "/" + fault.column()).toList(),
                is(
                        List.of(
                                "table/version",
                                "workspaces[0] palermo/share",
                                "workspaces[1] palermo/colour",
                                "workspaces[1] palermo/name")));
    }

    @Test
    void testParseWhenEnginePoolNamesNoModel() {
        List<TableFault> faults =
                faults(
                        """
                        version: 1
                        workspaces: []
                        pools:
                          - {name: permits, kind: engine, ceiling: 8}
                        """);
        assertThat(faults.get(0).column(), is("model"));
    }

    @Test
    void testParseWhenKeyIsGivenTwice() {
        assertThat(faults("version: 1\nversion: 2\n" + POOLS).size(), is(1));
    }

    @Test
    void testParseWhenNotYaml() {
        assertThat(faults("{[").get(0).row(), is("table"));
    }

    @Test
    void testParseWhenTooLarge() {
        byte[] content = new byte[TableParser.MAXIMUM_BYTES + 1];
        assertThat(
                TableParser.INSTANCE.parse(content) instanceof TableParseResult.Refused, is(true));
    }

    @Test
    void testParseWhenWrittenByWriter() throws IOException {
        for (String name : List.of("seggiolino", "consorcio")) {
            Path file = Path.of("..", "config", "tables", name + ".yaml");
            TableParseResult.Accepted result = accepted(Files.readString(file));
            assertThat(result.table().workspaces().size(), is(10));
            assertThat(accepted(TableWriter.INSTANCE.write(result.table())), is(result));
        }
    }

    private static TableParseResult.Accepted accepted(String text) {
        return (TableParseResult.Accepted)
                TableParser.INSTANCE.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<TableFault> faults(String text) {
        TableParseResult result = TableParser.INSTANCE.parse(text.getBytes(StandardCharsets.UTF_8));
        return ((TableParseResult.Refused) result).faults();
    }
}
