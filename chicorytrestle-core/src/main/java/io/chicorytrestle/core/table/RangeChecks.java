package io.chicorytrestle.core.table;

/** Checks that the values of rows are in their range. */
final class RangeChecks {

    /** Prevents instances. */
    private RangeChecks() {}

    /**
     * Checks an integer.
     *
     * @param what The name of the value, for the error.
     * @param value The value to check.
     * @param minimum The minimum, inclusive.
     * @param maximum The maximum, inclusive.
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
     * Checks a number that may have fractions.
     *
     * @param what The name of the value, for the error.
     * @param value The value to check.
     * @param minimum The minimum, inclusive.
     * @param maximum The maximum, inclusive.
     * @throws IllegalArgumentException If the value is out of range or NaN.
     */
    static void requireDouble(String what, double value, double minimum, double maximum) {
        if (!(value >= minimum && value <= maximum)) {
            throw new IllegalArgumentException(
                    "Cannot use %s out of range %s to %s: %s"
                            .formatted(what, minimum, maximum, value));
        }
    }
}
