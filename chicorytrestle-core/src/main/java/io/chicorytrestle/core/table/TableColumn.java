package io.chicorytrestle.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.chicorytrestle.core.identity.EndpointKind;
import java.util.Optional;
import java.util.function.Function;

/** Enumerates the columns of the table in the order in which they are written. */
@SuppressWarnings("ImmutableEnumChecker")
public enum TableColumn {

    /** The name of a workspace, unique among workspaces. */
    WORKSPACE_NAME("name", "", "", ColumnType.ForName.REQUIRED, workspaceCell(WorkspaceRow::name)),

    /** The weight of a workspace against others. */
    WORKSPACE_SHARE(
            "share",
            "weight",
            "1",
            new ColumnType.ForNumber(0, WorkspaceRow.MAXIMUM_SHARE),
            workspaceCell(WorkspaceRow::share)),

    /** The maximum number of requests of a workspace in flight over the whole fleet. */
    WORKSPACE_CEILING(
            "ceiling",
            "requests in flight over the fleet",
            "",
            new ColumnType.ForInteger(0, WorkspaceRow.MAXIMUM_CEILING_REQUESTS),
            workspaceCell(WorkspaceRow::ceilingRequests)),

    /** The priority of a workspace; larger values are served first. */
    WORKSPACE_PRIORITY(
            "priority",
            "rank, larger first",
            "5",
            new ColumnType.ForInteger(WorkspaceRow.MINIMUM_PRIORITY, WorkspaceRow.MAXIMUM_PRIORITY),
            workspaceCell(WorkspaceRow::priority)),

    /** The maximum number of requests of a workspace that wait on one entry instance. */
    WORKSPACE_QUEUE(
            "queue",
            "waiting requests for each entry instance",
            "100",
            new ColumnType.ForInteger(0, WorkspaceRow.MAXIMUM_QUEUE_REQUESTS),
            workspaceCell(WorkspaceRow::queueRequests)),

    /** The name of a pool, unique among pools. */
    POOL_NAME("name", "", "", ColumnType.ForName.REQUIRED, poolCell(PoolRow::name)),

    /** The kind of a pool's endpoints. */
    POOL_KIND(
            "kind",
            "",
            "",
            new ColumnType.ForEnum(EndpointKind.class),
            poolCell(row -> ColumnType.ForEnum.toText(row.kind()))),

    /** The weight of a pool when several pools compete for loading model weights. */
    POOL_SHARE(
            "share",
            "weight",
            "1",
            new ColumnType.ForNumber(0, WorkspaceRow.MAXIMUM_SHARE),
            poolCell(PoolRow::share)),

    /** The multiple of a pool's mean load that no endpoint may exceed. */
    POOL_MULTIPLE(
            "multiple",
            "times the pool's mean load",
            Double.toString(PoolRow.DEFAULT_BOUND_MULTIPLE),
            new ColumnType.ForNumber(1, PoolRow.MAXIMUM_BOUND_MULTIPLE),
            poolCell(PoolRow::boundMultiple)),

    /** The maximum number of requests in flight on one endpoint of a pool. */
    POOL_CEILING(
            "ceiling",
            "requests in flight on one endpoint",
            "",
            new ColumnType.ForInteger(1, PoolRow.MAXIMUM_CEILING_REQUESTS),
            poolCell(PoolRow::ceilingRequests)),

    /** The model that a pool's engines serve; required for an engine pool. */
    POOL_MODEL("model", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::model)),

    /** The version of a pool's model. */
    POOL_VERSION(
            "version", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::modelVersion)),

    /** The adapter that a pool's engines load. */
    POOL_ADAPTER("adapter", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::adapter)),

    /** The role that a pool's engines take. */
    POOL_ROLE("role", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::role));

    /** The key of the column in a row's YAML. */
    private final String key;

    /** The unit of the values, or an empty string if they have none. */
    private final String unit;

    /** The value of rows that omit the column, as written, or an empty string if it is required. */
    private final String defaultValue;

    /** Validates the values. */
    private final ColumnType type;

    /** Reads the column's value from a row. */
    private final CellReader cellReader;

    /**
     * Creates a new column.
     *
     * @param key The key of the column in a row's YAML.
     * @param unit The unit of the values, or an empty string if they have none.
     * @param defaultValue The value of rows that omit the column, as written, or an empty string if
     *     it is required.
     * @param type Validates the values.
     * @param cellReader Reads the column's value from a row.
     */
    TableColumn(
            String key, String unit, String defaultValue, ColumnType type, CellReader cellReader) {
        this.key = key;
        this.unit = unit;
        this.defaultValue = defaultValue;
        this.type = type;
        this.cellReader = cellReader;
    }

    /**
     * Returns the section whose rows have this column.
     *
     * @return The section of this column.
     */
    public TableSection section() {
        return cellReader.section();
    }

    /**
     * Returns the key of this column in a row's YAML.
     *
     * @return The key, unique within the section.
     */
    public String key() {
        return key;
    }

    /**
     * Returns the unit of the values.
     *
     * @return The unit, or an empty string if the values have none.
     */
    public String unit() {
        return unit;
    }

    /**
     * Returns the value of rows that omit this column.
     *
     * @return The value as written, or an empty string if this column is required.
     */
    public String defaultValue() {
        return defaultValue;
    }

    /**
     * Returns {@code true} if this column is required.
     *
     * @return {@code true} if each row must have a value, because there is no default.
     */
    public boolean isRequired() {
        return defaultValue.isEmpty();
    }

    /**
     * Describes the values that are allowed.
     *
     * @return A text for faults and for the schema's documentation.
     */
    public String allowedValues() {
        return type.allowedValues();
    }

    /**
     * Validates a value.
     *
     * @param value The value's YAML node.
     * @return The reason why the value is refused, or empty if it is valid.
     */
    Optional<String> validate(JsonNode value) {
        return type.validate(value);
    }

    /**
     * Returns the value of this column in a row.
     *
     * @param row The row, which must be of this column's section.
     * @return The value, which is a string or a number.
     * @throws IllegalArgumentException If the row is of another section.
     */
    public Object valueOf(TableRow row) {
        if (row.section() != section()) {
            throw new IllegalArgumentException(
                    "Cannot read column from row of another section: " + this);
        }
        return cellReader.getter().apply(row);
    }

    /**
     * Creates a reader for a column of the workspaces' rows.
     *
     * @param getter Reads the value from a row.
     * @return The reader.
     */
    private static CellReader workspaceCell(Function<WorkspaceRow, Object> getter) {
        return new CellReader(TableSection.WORKSPACES, row -> getter.apply((WorkspaceRow) row));
    }

    /**
     * Creates a reader for a column of the pools' rows.
     *
     * @param getter Reads the value from a row.
     * @return The reader.
     */
    private static CellReader poolCell(Function<PoolRow, Object> getter) {
        return new CellReader(TableSection.POOLS, row -> getter.apply((PoolRow) row));
    }

    /**
     * Reads the value of one column from a row.
     *
     * @param section The section of the rows.
     * @param getter Reads the value from a row of the section.
     */
    private record CellReader(TableSection section, Function<TableRow, Object> getter) {}
}
