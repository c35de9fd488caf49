package io.chicorytrestle.core.table;

import java.util.Arrays;
import java.util.List;

/** Enumerates the lists of rows that a table holds. */
public enum TableSection {

    /** The workspaces' rows. */
    WORKSPACES("workspaces"),

    /** The pools' rows. */
    POOLS("pools");

    /** The key of the list of rows in a table's YAML. */
    private final String key;

    /**
     * Creates a new section.
     *
     * @param key The key of the list of rows in a table's YAML.
     */
    TableSection(String key) {
        this.key = key;
    }

    /**
     * Returns the key of the list of rows in a table's YAML.
     *
     * @return The key, unique within the table.
     */
    public String key() {
        return key;
    }

    /**
     * Returns the columns of this section's rows.
     *
     * @return The columns in the order in which they are written.
     */
    public List<TableColumn> columns() {
        return Arrays.stream(TableColumn.values())
                .filter(column -> column.section() == this)
                .toList();
    }
}
