package io.chicorytrestle.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.chicorytrestle.core.identity.EndpointKind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decodes one table from its YAML tree and collects all faults instead of stopping at the first.
 * This class is not thread-safe.
 */
final class TableDecoder {

    /** The key of the table's version. */
    private static final String VERSION_KEY = "version";

    /** The root of the YAML tree. */
    private final JsonNode root;

    /** The faults that were found so far. */
    private final List<TableFault> faults = new ArrayList<>();

    /**
     * Creates a new decoder.
     *
     * @param root The root of the YAML tree, a map.
     */
    TableDecoder(JsonNode root) {
        this.root = root;
    }

    /**
     * Decodes the table.
     *
     * @return The decoded table, or all faults.
     */
    TableParseResult decode() {
        rejectUnknownKeys();
        long version = readVersion();
        Map<String, WorkspaceRow> workspaces = new LinkedHashMap<>();
        for (ValidRow row : readRows(TableSection.WORKSPACES)) {
            workspaces.put(row.textValue(TableColumn.WORKSPACE_NAME), readWorkspace(row));
        }
        Map<String, PoolRow> pools = new LinkedHashMap<>();
        for (ValidRow row : readRows(TableSection.POOLS)) {
            PoolRow pool = readPool(row);
            if (pool != null) {
                pools.put(pool.name(), pool);
            }
        }
        return faults.isEmpty()
                ? TableParseResult.Accepted.of(new Table(version, workspaces, pools))
                : new TableParseResult.Refused(faults);
    }

    /** Adds a fault for each unknown key at the top level. */
    private void rejectUnknownKeys() {
        Set<String> known = new HashSet<>(Set.of(VERSION_KEY));
        Arrays.stream(TableSection.values()).forEach(section -> known.add(section.key()));
        root.properties()
                .forEach(
                        entry -> {
                            if (!known.contains(entry.getKey())) {
                                addFault(
                                        TableParser.WHOLE_TABLE, entry.getKey(), "", "unknown key");
                            }
                        });
    }

    /**
     * Reads the table's version.
     *
     * @return The version, or zero if it is missing or invalid.
     */
    private long readVersion() {
        JsonNode value = root.path(VERSION_KEY);
        if (value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 1) {
            return value.longValue();
        }
        addFault(
                TableParser.WHOLE_TABLE,
                VERSION_KEY,
                asText(value),
                "allowed: an integer of at least 1 that increases with each change");
        return 0;
    }

    /**
     * Reads the rows of a section.
     *
     * @param section The section.
     * @return The rows without faults.
     */
    private List<ValidRow> readRows(TableSection section) {
        JsonNode list = root.path(section.key());
        if (!list.isArray() || list.size() > TableParser.MAXIMUM_ROWS) {
            String reason = "allowed: a list of at most " + TableParser.MAXIMUM_ROWS + " rows";
            addFault(TableParser.WHOLE_TABLE, section.key(), asText(list), reason);
            return List.of();
        }
        List<ValidRow> rows = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int index = 0; index < list.size(); index++) {
            JsonNode node = list.get(index);
            String name = node.path(TableColumn.WORKSPACE_NAME.key()).asText();
            String row = "%s[%d] %s".formatted(section.key(), index, name).strip();
            int before = faults.size();
            validateRow(section, row, node);
            if (!name.isEmpty() && !names.add(name)) {
                addFault(row, TableColumn.WORKSPACE_NAME.key(), name, "duplicate name");
            }
            if (faults.size() == before) {
                rows.add(new ValidRow(row, node));
            }
        }
        return rows;
    }

    /**
     * Validates the cells of a row.
     *
     * @param section The section of the row.
     * @param row The row's section, index and name, for faults.
     * @param node The row's YAML node.
     */
    private void validateRow(TableSection section, String row, JsonNode node) {
        if (!node.isObject()) {
            addFault(row, "", asText(node), "not a map of columns");
            return;
        }
        List<String> keys = section.columns().stream().map(TableColumn::key).toList();
        node.properties()
                .forEach(
                        entry -> {
                            if (!keys.contains(entry.getKey())) {
                                addFault(
                                        row,
                                        entry.getKey(),
                                        asText(entry.getValue()),
                                        unknownColumnReason(keys));
                            }
                        });
        for (TableColumn column : section.columns()) {
            JsonNode value = node.get(column.key());
            if (value == null && column.isRequired()) {
                addFault(row, column.key(), "", "missing, allowed: " + column.allowedValues());
            } else if (value != null) {
                column.validate(value)
                        .ifPresent(reason -> addFault(row, column.key(), asText(value), reason));
            }
        }
    }

    /**
     * Creates the row of a workspace.
     *
     * @param row The row, whose cells are valid.
     * @return The workspace's row.
     */
    private static WorkspaceRow readWorkspace(ValidRow row) {
        return new WorkspaceRow(
                row.textValue(TableColumn.WORKSPACE_NAME),
                row.doubleValue(TableColumn.WORKSPACE_SHARE),
                row.intValue(TableColumn.WORKSPACE_CEILING),
                row.intValue(TableColumn.WORKSPACE_PRIORITY),
                row.intValue(TableColumn.WORKSPACE_QUEUE));
    }

    /**
     * Creates the row of a pool.
     *
     * @param row The row, whose cells are valid.
     * @return The pool's row, or {@code null} if an engine pool names no model.
     */
    private @Nullable PoolRow readPool(ValidRow row) {
        EndpointKind kind =
                EndpointKind.valueOf(row.textValue(TableColumn.POOL_KIND).toUpperCase(Locale.ROOT));
        if (kind == EndpointKind.ENGINE && row.textValue(TableColumn.POOL_MODEL).isEmpty()) {
            addFault(
                    row.location(),
                    TableColumn.POOL_MODEL.key(),
                    "",
                    "missing, but required for an engine pool");
            return null;
        }
        return new PoolRow(
                row.textValue(TableColumn.POOL_NAME),
                kind,
                row.doubleValue(TableColumn.POOL_SHARE),
                row.doubleValue(TableColumn.POOL_MULTIPLE),
                row.intValue(TableColumn.POOL_CEILING),
                row.textValue(TableColumn.POOL_MODEL),
                row.textValue(TableColumn.POOL_VERSION),
                row.textValue(TableColumn.POOL_ADAPTER),
                row.textValue(TableColumn.POOL_ROLE));
    }

    /**
     * Adds a fault.
     *
     * @param row The row's section, index and name, or {@link TableParser#WHOLE_TABLE}.
     * @param column The column's key, or an empty string for the whole row.
     * @param value The refused value.
     * @param reason Why the value is refused.
     */
    private void addFault(String row, String column, String value, String reason) {
        faults.add(new TableFault(row, column, value, reason));
    }

    /**
     * Returns the reason of a fault for an unknown column.
     *
     * @param keys The known columns' keys.
     * @return The reason, which lists the known columns.
     */
    private static String unknownColumnReason(List<String> keys) {
        return "unknown column, allowed: " + String.join(", ", keys);
    }

    /**
     * Returns a value as text for a fault.
     *
     * @param value The value.
     * @return The string itself, or any other value as JSON.
     */
    private static String asText(JsonNode value) {
        return value.isTextual() ? value.textValue() : value.toString();
    }

    /**
     * Holds a row whose cells are valid.
     *
     * @param location The row's section, index and name, for faults.
     * @param node The row's YAML node.
     */
    private record ValidRow(String location, JsonNode node) {

        /**
         * Returns the string in a cell.
         *
         * @param column The column.
         * @return The string, or an empty string if the cell is missing.
         */
        private String textValue(TableColumn column) {
            return node.path(column.key()).asText("");
        }

        /**
         * Returns the integer in a cell.
         *
         * @param column The column.
         * @return The cell's number, or the column's default if the cell is missing.
         */
        private int intValue(TableColumn column) {
            JsonNode value = node.get(column.key());
            return value == null ? Integer.parseInt(column.defaultValue()) : value.intValue();
        }

        /**
         * Returns the number in a cell.
         *
         * @param column The column.
         * @return The cell's number, or the column's default if the cell is missing.
         */
        private double doubleValue(TableColumn column) {
            JsonNode value = node.get(column.key());
            return value == null ? Double.parseDouble(column.defaultValue()) : value.doubleValue();
        }
    }
}
