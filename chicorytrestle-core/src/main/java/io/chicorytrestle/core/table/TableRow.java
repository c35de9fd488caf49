package io.chicorytrestle.core.table;

/** Represents the weights and limits of one workspace or pool. */
public sealed interface TableRow permits WorkspaceRow, PoolRow {

    /**
     * Returns the row's name.
     *
     * @return The name, unique within the row's section.
     */
    String name();

    /**
     * Returns the section of the row.
     *
     * @return The section, which determines the row's columns.
     */
    TableSection section();
}
