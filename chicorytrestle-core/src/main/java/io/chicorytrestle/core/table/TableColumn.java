package io.chicorytrestle.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.chicorytrestle.core.identity.EndpointKind;
import java.util.Optional;
import java.util.function.Function;

/** Enumerates the columns of the table. */
@SuppressWarnings("ImmutableEnumChecker")
public enum TableColumn {

    /** The name of a workspace. */
    WORKSPACE_NAME("name", "", "", ColumnType.ForName.REQUIRED, workspaceCell(WorkspaceRow::name)),

    /** The weight of a workspace against others. */
    WORKSPACE_SHARE(
            "share",
            "weight",
            "1",
            new ColumnType.ForNumber(0, WorkspaceRow.MAXIMUM_SHARE),
            workspaceCell(WorkspaceRow::share)),

    /** The most requests in flight of a workspace over the whole fleet. */
    WORKSPACE_CEILING(
            "ceiling",
            "requests in flight over the fleet",
            "",
            new ColumnType.ForInteger(0, WorkspaceRow.MAXIMUM_CEILING_REQUESTS),
            workspaceCell(WorkspaceRow::ceilingRequests)),

    /** The priority of a workspace. */
    WORKSPACE_PRIORITY(
            "priority",
            "rank, larger first",
            "5",
            new ColumnType.ForInteger(WorkspaceRow.MINIMUM_PRIORITY, WorkspaceRow.MAXIMUM_PRIORITY),
            workspaceCell(WorkspaceRow::priority)),

    /** The most requests of a workspace that wait on one entry instance. */
    WORKSPACE_QUEUE(
            "queue",
            "waiting requests for each entry instance",
            "100",
            new ColumnType.ForInteger(0, WorkspaceRow.MAXIMUM_QUEUE_REQUESTS),
            workspaceCell(WorkspaceRow::queueRequests)),

    /** The name of a pool. */
    POOL_NAME("name", "", "", ColumnType.ForName.REQUIRED, poolCell(PoolRow::name)),

    /** The kind of a pool's endpoints. */
    POOL_KIND(
            "kind",
            "",
            "",
            new ColumnType.ForEnum(EndpointKind.class),
            poolCell(row -> ColumnType.ForEnum.toText(row.kind()))),

    /** The weight of a pool when loads of model weights compete. */
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

    /** The most requests in flight on one endpoint of a pool. */
    POOL_CEILING(
            "ceiling",
            "requests in flight on one endpoint",
            "",
            new ColumnType.ForInteger(1, PoolRow.MAXIMUM_CEILING_REQUESTS),
            poolCell(PoolRow::ceilingRequests)),

    /** The model that a pool's engines serve. */
    POOL_MODEL("model", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::model)),

    /** The version of a pool's model. */
    POOL_VERSION(
            "version", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::modelVersion)),

    /** The adapter that a pool's engines load. */
    POOL_ADAPTER("adapter", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::adapter)),

    /** The role that a pool's engines take. */
    POOL_ROLE("role", "", "\"\"", ColumnType.ForName.OPTIONAL, poolCell(PoolRow::role));

    /** The key of the column in a written row. */
    private final String key;

    /** The unit of the values, or an empty text if they have none. */
    private final String unit;

    /** The value that holds if a row names none, as written, or an empty text if one must. */
    private final String defaultValue;

    /** Checks the values. */
    private final ColumnType type;

    /** Reads the value of a row. */
    private final CellReader cellReader;

    /**
     * Creates a new column.
     *
     * @param key The key of the column in a written row.
     * @param unit The unit of the values, or an empty text if they have none.
     * @param initial The value that holds if a row names none, as written, or an empty text.
     * @param type Checks the values.
     * @param cell Reads the value of a row.
     */
    TableColumn(String key, String unit, String initial, ColumnType type, CellReader cell) {
        this.key = key;
        this.unit = unit;
        this.defaultValue = initial;
        this.type = type;
        this.cellReader = cell;
    }

    /**
     * Returns the section that this column belongs to.
     *
     * @return The section that this column belongs to.
     */
    public TableSection section() {
        return cellReader.section();
    }

    /**
     * Returns the key of this column in a written row.
     *
     * @return The key of this column in a written row.
     */
    public String key() {
        return key;
    }

    /**
     * Returns the unit of the values.
     *
     * @return The unit, or an empty text if the values have none.
     */
    public String unit() {
        return unit;
    }

    /**
     * Returns the value that holds if a row names none.
     *
     * @return The value as written, or an empty text if each row must name one.
     */
    public String defaultValue() {
        return defaultValue;
    }

    /**
     * Returns {@code true} if each row must name a value.
     *
     * @return {@code true} if each row must name a value.
     */
    public boolean isRequired() {
        return defaultValue.isEmpty();
    }

    /**
     * Returns the values that are allowed.
     *
     * @return A text for the schema's documentation.
     */
    public String allowedValues() {
        return type.allowedValues();
    }

    /**
     * Checks a written value.
     *
     * @param value The value as written.
     * @return Why the value cannot be used, or empty if it can.
     */
    Optional<String> validate(JsonNode value) {
        return type.validate(value);
    }

    /**
     * Returns the value of a row.
     *
     * @param row The row, of this column's section.
     * @return The value, which is a text or a number.
     * @throws IllegalArgumentException If the row is of another section.
     */
    public Object valueOf(TableRow row) {
        if (row.section() != section()) {
            throw new IllegalArgumentException("Cannot read column of other section: " + this);
        }
        return cellReader.getter().apply(row);
    }

    /**
     * Creates a reader of a workspace's row.
     *
     * @param reader Reads the value.
     * @return The reader.
     */
    private static CellReader workspaceCell(Function<WorkspaceRow, Object> reader) {
        return new CellReader(TableSection.WORKSPACES, row -> reader.apply((WorkspaceRow) row));
    }

    /**
     * Creates a reader of a pool's row.
     *
     * @param reader Reads the value.
     * @return The reader.
     */
    private static CellReader poolCell(Function<PoolRow, Object> reader) {
        return new CellReader(TableSection.POOLS, row -> reader.apply((PoolRow) row));
    }

    /**
     * Reads the value of a row.
     *
     * @param section The section of the rows.
     * @param getter Reads the value.
     */
    private record CellReader(TableSection section, Function<TableRow, Object> getter) {}
}
