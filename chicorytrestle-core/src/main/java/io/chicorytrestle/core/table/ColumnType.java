package io.chicorytrestle.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.chicorytrestle.core.identity.Names;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Validates the values of a column as they are written in YAML. */
interface ColumnType {

    /**
     * Validates a value.
     *
     * @param value The value's YAML node.
     * @return The reason why the value is refused, or empty if it is valid.
     */
    Optional<String> validate(JsonNode value);

    /**
     * Describes the values that are allowed.
     *
     * @return A text for faults and for the schema's documentation.
     */
    String allowedValues();

    /** A column of well-formed names. */
    enum ForName implements ColumnType {

        /** A type of names that must not be empty. */
        REQUIRED,

        /** A type of names that may be empty. */
        OPTIONAL;

        @Override
        public Optional<String> validate(JsonNode value) {
            if (!value.isTextual()) {
                return Optional.of("not a string, put it in quotes");
            }
            if (this == OPTIONAL && value.textValue().isEmpty()) {
                return Optional.empty();
            }
            return Names.isValid(value.textValue())
                    ? Optional.empty()
                    : Optional.of("allowed: " + allowedValues());
        }

        @Override
        public String allowedValues() {
            return "1 to %d letters, digits, dots, underscores, colons and hyphens"
                    .formatted(Names.MAXIMUM_LENGTH);
        }
    }

    /**
     * A column of integers.
     *
     * @param minimum The smallest value that is allowed.
     * @param maximum The largest value that is allowed.
     */
    record ForInteger(long minimum, long maximum) implements ColumnType {

        @Override
        public Optional<String> validate(JsonNode value) {
            if (!value.isIntegralNumber()) {
                return Optional.of("not an integer");
            }
            boolean allowed =
                    value.canConvertToLong()
                            && value.longValue() >= minimum
                            && value.longValue() <= maximum;
            return allowed ? Optional.empty() : Optional.of("allowed: " + allowedValues());
        }

        @Override
        public String allowedValues() {
            return minimum + " to " + maximum;
        }
    }

    /**
     * A column of numbers that may have fractions.
     *
     * @param minimum The smallest value that is allowed.
     * @param maximum The largest value that is allowed.
     */
    record ForNumber(double minimum, double maximum) implements ColumnType {

        @Override
        public Optional<String> validate(JsonNode value) {
            if (!value.isNumber()) {
                return Optional.of("not a number");
            }
            boolean allowed = value.doubleValue() >= minimum && value.doubleValue() <= maximum;
            return allowed ? Optional.empty() : Optional.of("allowed: " + allowedValues());
        }

        @Override
        public String allowedValues() {
            return "%.0f to %.0f, fractions allowed".formatted(minimum, maximum);
        }
    }

    /**
     * A column of enumeration constants, written in lower case.
     *
     * @param enumType The type of the enumeration.
     */
    record ForEnum(Class<? extends Enum<?>> enumType) implements ColumnType {

        @Override
        public Optional<String> validate(JsonNode value) {
            boolean allowed =
                    value.isTextual()
                            && Arrays.stream(enumType.getEnumConstants())
                                    .anyMatch(
                                            constant -> toText(constant).equals(value.textValue()));
            return allowed ? Optional.empty() : Optional.of("allowed: " + allowedValues());
        }

        @Override
        public String allowedValues() {
            return String.join(
                    " or ",
                    Arrays.stream(enumType.getEnumConstants()).map(ForEnum::toText).toList());
        }

        /**
         * Returns a constant as it is written in YAML.
         *
         * @param constant The enumeration constant.
         * @return The constant's name in lower case.
         */
        static String toText(Enum<?> constant) {
            return constant.name().toLowerCase(Locale.ROOT);
        }
    }
}
