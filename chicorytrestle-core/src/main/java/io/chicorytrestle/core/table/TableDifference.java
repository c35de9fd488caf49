package io.chicorytrestle.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Lists the cells in which a table differs from an older one.
 *
 * @param cells The cells that differ, sorted by section, row and column.
 */
public record TableDifference(List<CellChange> cells) {

    /** Creates a new difference. */
    public TableDifference {
        cells = List.copyOf(cells);
    }

    /**
     * Compares two tables cell by cell, regardless of their versions.
     *
     * @param older The older table.
     * @param newer The newer table.
     * @return The cells that differ.
     */
    public static TableDifference between(Table older, Table newer) {
        List<CellChange> cells = new ArrayList<>();
        compare(TableSection.WORKSPACES, older.workspaces(), newer.workspaces(), cells);
        compare(TableSection.POOLS, older.pools(), newer.pools(), cells);
        return new TableDifference(cells);
    }

    /**
     * Compares the rows of one section.
     *
     * @param section The section.
     * @param older The older rows by name.
     * @param newer The newer rows by name.
     * @param cells Receives the cells that differ.
     */
    private static void compare(
            TableSection section,
            Map<String, ? extends TableRow> older,
            Map<String, ? extends TableRow> newer,
            List<CellChange> cells) {
        TreeSet<String> names = new TreeSet<>(older.keySet());
        names.addAll(newer.keySet());
        for (String name : names) {
            for (TableColumn column : section.columns()) {
                String before = text(column, older.get(name));
                String after = text(column, newer.get(name));
                if (!before.equals(after)) {
                    cells.add(new CellChange(section, name, column, before, after));
                }
            }
        }
    }

    /**
     * Returns a cell's value as text.
     *
     * @param column The column.
     * @param row The row, or {@code null} if there is none.
     * @return The value as text, or an empty string if there is no row.
     */
    private static String text(TableColumn column, @Nullable TableRow row) {
        return row == null ? "" : column.valueOf(row).toString();
    }

    /**
     * Describes a cell that differs.
     *
     * @param section The section.
     * @param row The row's name.
     * @param column The column.
     * @param before The older value, or an empty string if the row was added.
     * @param after The newer value, or an empty string if the row was removed.
     */
    public record CellChange(
            TableSection section, String row, TableColumn column, String before, String after) {

        /**
         * Returns the change as text.
         *
         * @return The section, row, column and both values on one line.
         */
        public String text() {
            return "%s %s %s: '%s' -> '%s'"
                    .formatted(section.key(), row, column.key(), before, after);
        }
    }
}
