package io.chicorytrestle.core.table;

/**
 * Tells why a table was refused.
 *
 * @param row The row, such as {@code workspaces[2] palermo}, or {@code table} for the whole.
 * @param column The column, or an empty text for the whole row.
 * @param value The refused value as written, cut if it is long.
 * @param reason Why the value cannot be used.
 */
public record TableFault(String row, String column, String value, String reason) {

    /** The most characters of a value to keep. */
    private static final int MAXIMUM_VALUE_LENGTH = 80;

    /** Creates a new fault. */
    public TableFault {
        if (value.length() > MAXIMUM_VALUE_LENGTH) {
            value = value.substring(0, MAXIMUM_VALUE_LENGTH) + "...";
        }
    }

    /**
     * Returns the fault as one line.
     *
     * @return The fault as one line.
     */
    public String message() {
        return "Cannot use %s, column '%s', value '%s': %s".formatted(row, column, value, reason);
    }
}
