package io.chicorytrestle.core.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class TableColumnTest {

    @Test
    void testSchemaPageWhenComparedWithColumns() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("..", "docs", "TABLE.md"));
        for (TableColumn column : TableColumn.values()) {
            assertThat(
                    lines,
                    hasItem(
                            "| %s | %s | %s | %s | %s |"
                                    .formatted(
                                            column.section().key(),
                                            column.key(),
                                            column.unit().isEmpty() ? "-" : column.unit(),
                                            column.allowedValues(),
                                            column.isRequired()
                                                    ? "required"
                                                    : column.defaultValue())));
        }
    }
}
