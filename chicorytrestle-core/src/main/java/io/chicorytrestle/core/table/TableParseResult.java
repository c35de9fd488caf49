package io.chicorytrestle.core.table;

import java.util.List;

/** Holds the result of parsing a table, which is either a valid table or its faults. */
public sealed interface TableParseResult {

    /**
     * A valid table.
     *
     * @param table The table.
     * @param digest The digest of the table's content.
     */
    record Accepted(Table table, String digest) implements TableParseResult {

        /** The empty table, which is current before any table was accepted. */
        public static final Accepted EMPTY = of(Table.EMPTY);

        /**
         * Creates a result for a table that is known to be valid.
         *
         * @param table The table.
         * @return The table with its digest.
         */
        public static Accepted of(Table table) {
            return new Accepted(table, TableWriter.INSTANCE.digest(table));
        }
    }

    /**
     * A table that is not valid.
     *
     * @param faults All faults, at least one.
     */
    record Refused(List<TableFault> faults) implements TableParseResult {

        /**
         * Creates a new refusal.
         *
         * @param faults All faults, at least one.
         * @throws IllegalArgumentException If the list of faults is empty.
         */
        public Refused {
            if (faults.isEmpty()) {
                throw new IllegalArgumentException(
                        "Cannot refuse table without any fault: " + faults);
            }
            faults = List.copyOf(faults);
        }
    }
}
