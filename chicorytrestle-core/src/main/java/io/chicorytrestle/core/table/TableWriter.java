package io.chicorytrestle.core.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes tables as YAML, one row per line. Equal tables are written identically, so that their
 * digests are equal.
 */
public enum TableWriter {

    /** The singleton instance. */
    INSTANCE;

    /** The number of hexadecimal digits in a digest. */
    private static final int DIGEST_LENGTH = 16;

    /** Writes rows as JSON objects, which are valid flow mappings in YAML. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Writes a table.
     *
     * @param table The table.
     * @return The table as YAML, with the rows sorted by name.
     */
    public String write(Table table) {
        StringBuilder text = new StringBuilder();
        text.append("version: ").append(table.version()).append('\n');
        appendSection(text, TableSection.WORKSPACES, table.workspaces());
        appendSection(text, TableSection.POOLS, table.pools());
        return text.toString();
    }

    /**
     * Returns the digest of a table, by which instances compare tables of the same version.
     *
     * @param table The table.
     * @return The first 16 hexadecimal digits of the SHA-256 hash of the table's YAML.
     */
    public String digest(Table table) {
        return Hashing.sha256()
                .hashString(write(table), StandardCharsets.UTF_8)
                .toString()
                .substring(0, DIGEST_LENGTH);
    }

    /**
     * Writes a row.
     *
     * @param row The row.
     * @return The row as a flow mapping.
     * @throws IllegalStateException If a value cannot be written, which does not happen for a valid
     *     row.
     */
    public String write(TableRow row) {
        ObjectNode node = MAPPER.createObjectNode();
        row.section().columns().forEach(column -> node.putPOJO(column.key(), column.valueOf(row)));
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("Cannot write row: " + row.name(), exception);
        }
    }

    /**
     * Appends the rows of a section, sorted by name.
     *
     * @param text The builder to append to.
     * @param section The section.
     * @param rows The rows by name.
     */
    private void appendSection(
            StringBuilder text, TableSection section, Map<String, ? extends TableRow> rows) {
        text.append(section.key()).append(rows.isEmpty() ? ": []\n" : ":\n");
        for (TableRow row : new TreeMap<>(rows).values()) {
            text.append("  - ").append(write(row)).append('\n');
        }
    }
}
