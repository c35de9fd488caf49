package io.chicorytrestle.core.table;

import java.util.Map;
import java.util.Optional;

/**
 * Holds the weights and limits of all workspaces and pools.
 *
 * @param version The table's version, which increases with each change; zero for the empty table.
 * @param workspaces The workspaces' rows by name.
 * @param pools The pools' rows by name.
 */
public record Table(
        long version, Map<String, WorkspaceRow> workspaces, Map<String, PoolRow> pools) {

    /** The table in use until the first one is accepted. */
    public static final Table EMPTY = new Table(0, Map.of(), Map.of());

    /**
     * Creates a new table.
     *
     * @throws IllegalArgumentException If the version is negative.
     */
    public Table {
        if (version < 0) {
            throw new IllegalArgumentException("Cannot use negative table version: " + version);
        }
        workspaces = Map.copyOf(workspaces);
        pools = Map.copyOf(pools);
    }

    /**
     * Returns the row of a workspace.
     *
     * @param name The workspace's name.
     * @return The row, or empty if the table has none.
     */
    public Optional<WorkspaceRow> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /**
     * Returns the row of a pool.
     *
     * @param name The pool's name.
     * @return The row, or empty if the table has none.
     */
    public Optional<PoolRow> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }
}
