package io.chicorytrestle.core.table;

import java.util.List;

/** Tells what came of reading a table. */
public sealed interface TableParseResult {

    /**
     * A table that can be used.
     *
     * @param table The table.
     * @param digest The digest of the table's content.
     */
    record Accepted(Table table, String digest) implements TableParseResult {

        /** What is in force before any table was accepted. */
        public static final Accepted EMPTY = of(Table.EMPTY);

        /**
         * Creates a reading of a table that was checked already.
         *
         * @param table The table.
         * @return The reading with the digest of the table.
         */
        public static Accepted of(Table table) {
            return new Accepted(table, TableWriter.INSTANCE.digest(table));
        }
    }

    /**
     * A table that cannot be used.
     *
     * @param faults All faults, at least one.
     */
    record Refused(List<TableFault> faults) implements TableParseResult {

        /**
         * Creates a new refusal.
         *
         * @param faults All faults, at least one.
         * @throws IllegalArgumentException If there is no fault.
         */
        public Refused {
            if (faults.isEmpty()) {
                throw new IllegalArgumentException("Cannot refuse table without fault: " + faults);
            }
            faults = List.copyOf(faults);
        }
    }
}
