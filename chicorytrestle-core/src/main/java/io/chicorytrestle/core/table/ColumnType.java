package io.chicorytrestle.core.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.chicorytrestle.core.identity.Names;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Checks the values of a column. */
interface ColumnType {

    /**
     * Checks a written value.
     *
     * @param value The value as written.
     * @return Why the value cannot be used, or empty if it can.
     */
    Optional<String> validate(JsonNode value);

    /**
     * Returns the values that are allowed.
     *
     * @return A text for the schema's documentation.
     */
    String allowedValues();

    /** A column of well-formed names. */
    enum ForName implements ColumnType {

        /** A type whose values must not be empty. */
        REQUIRED,

        /** A type whose values may be empty. */
        OPTIONAL;

        @Override
        public Optional<String> validate(JsonNode value) {
            if (!value.isTextual()) {
                return Optional.of("not a text, write it in quotes");
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
     * A column of whole numbers.
     *
     * @param minimum The smallest value that is allowed.
     * @param maximum The largest value that is allowed.
     */
    record ForInteger(long minimum, long maximum) implements ColumnType {

        @Override
        public Optional<String> validate(JsonNode value) {
            if (!value.isIntegralNumber()) {
                return Optional.of("not a whole number");
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
     * A column of numbers.
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
     * A column of choices.
     *
     * @param enumType The enumeration that holds the choices.
     */
    record ForEnum(Class<? extends Enum<?>> enumType) implements ColumnType {

        @Override
        public Optional<String> validate(JsonNode value) {
            boolean allowed =
                    value.isTextual()
                            && Arrays.stream(enumType.getEnumConstants())
                                    .anyMatch(choice -> toText(choice).equals(value.textValue()));
            return allowed ? Optional.empty() : Optional.of("allowed: " + allowedValues());
        }

        @Override
        public String allowedValues() {
            return String.join(
                    " or ",
                    Arrays.stream(enumType.getEnumConstants()).map(ForEnum::toText).toList());
        }

        /**
         * Returns a choice as it is written.
         *
         * @param choice The choice.
         * @return The choice in lower case.
         */
        static String toText(Enum<?> choice) {
            return choice.name().toLowerCase(Locale.ROOT);
        }
    }
}
