package io.chicorytrestle.core.table;

/**
 * Describes one reason why a table was refused.
 *
 * @param row The row, such as {@code workspaces[2] palermo}, or {@code table} for the whole table.
 * @param column The column's key, or an empty string for the whole row.
 * @param value The refused value as written, truncated to 80 characters.
 * @param reason The reason why the value is refused.
 */
public record TableFault(String row, String column, String value, String reason) {

    /** The number of characters after which a value is truncated. */
    private static final int MAXIMUM_VALUE_LENGTH = 80;

    /** Creates a new fault and truncates its value. */
    public TableFault {
        if (value.length() > MAXIMUM_VALUE_LENGTH) {
            value = value.substring(0, MAXIMUM_VALUE_LENGTH) + "...";
        }
    }

    /**
     * Returns the fault as a message.
     *
     * @return A message on one line.
     */
    public String message() {
        return "Cannot use %s, column '%s', value '%s': %s".formatted(row, column, value, reason);
    }
}
