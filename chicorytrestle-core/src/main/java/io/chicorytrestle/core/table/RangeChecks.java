package io.chicorytrestle.core.table;

/** Checks that values are in their range. */
final class RangeChecks {

    /** Prevents instances. */
    private RangeChecks() {}

    /**
     * Checks a whole number.
     *
     * @param what The name of the value.
     * @param value The value to check.
     * @param minimum The smallest value that is allowed.
     * @param maximum The largest value that is allowed.
     * @throws IllegalArgumentException If the value is out of range.
     */
    static void requireLong(String what, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            throw new IllegalArgumentException(
                    "Cannot use %s out of range %d to %d: %d"
                            .formatted(what, minimum, maximum, value));
        }
    }

    /**
     * Checks a number.
     *
     * @param what The name of the value.
     * @param value The value to check.
     * @param minimum The smallest value that is allowed.
     * @param maximum The largest value that is allowed.
     * @throws IllegalArgumentException If the value is out of range or not a number.
     */
    static void requireDouble(String what, double value, double minimum, double maximum) {
        if (!(value >= minimum && value <= maximum)) {
            throw new IllegalArgumentException(
                    "Cannot use %s out of range %s to %s: %s"
                            .formatted(what, minimum, maximum, value));
        }
    }
}
