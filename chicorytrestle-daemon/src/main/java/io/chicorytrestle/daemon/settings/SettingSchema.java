package io.chicorytrestle.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Defines the allowed values of a part of the settings. */
sealed interface SettingSchema {

    /**
     * Validates a value and adds the defaults of missing keys.
     *
     * @param path The path of the value from the root.
     * @param node The value; objects in it are completed in place.
     * @param faults Receives each invalid value.
     */
    void validate(String path, JsonNode node, Consumer<SettingsFault> faults);

    /**
     * Describes the allowed values for error messages.
     *
     * @return The description.
     */
    String allowed();

    /**
     * Returns the default for a missing key.
     *
     * @return The default value, or empty if the key is required.
     */
    default Optional<JsonNode> defaultValue() {
        return Optional.empty();
    }

    /**
     * A mapping with a fixed set of keys.
     *
     * @param schemasByKey The schemas of the values by key.
     */
    record ForObject(Map<String, SettingSchema> schemasByKey) implements SettingSchema {

        /**
         * The maximum number of edits between an unknown key and the known key that is suggested
         * for it.
         */
        private static final int MAXIMUM_SUGGESTION_DISTANCE = 3;

        @Override
        public void validate(String path, JsonNode node, Consumer<SettingsFault> faults) {
            if (!(node instanceof ObjectNode object)) {
                faults.accept(new SettingsFault(path, describeKind(node), allowed()));
                return;
            }
            object.fieldNames()
                    .forEachRemaining(
                            key -> {
                                if (!schemasByKey.containsKey(key)) {
                                    faults.accept(unknownKey(path, key));
                                }
                            });
            schemasByKey.forEach(
                    (key, schema) -> validateKey(join(path, key), key, schema, object, faults));
        }

        /**
         * Validates the value of one key, or adds its default if the key is missing.
         *
         * @param path The path of the key.
         * @param key The key.
         * @param schema The schema of its value.
         * @param object The object that may have the key.
         * @param faults Receives each invalid value.
         */
        private static void validateKey(
                String path,
                String key,
                SettingSchema schema,
                ObjectNode object,
                Consumer<SettingsFault> faults) {
            JsonNode value = object.get(key);
            if (value == null || value.isNull()) {
                Optional<JsonNode> defaultValue = schema.defaultValue();
                if (defaultValue.isEmpty() && !(schema instanceof ForObject)) {
                    faults.accept(new SettingsFault(path, "missing", schema.allowed()));
                    return;
                }
                value = defaultValue.orElseGet(object::objectNode);
                object.set(key, value);
            }
            schema.validate(path, value, faults);
        }

        /**
         * Returns the fault for an unknown key.
         *
         * @param path The path of the object.
         * @param key The unknown key.
         * @return The fault, with a suggestion if a known key is similar.
         */
        private SettingsFault unknownKey(String path, String key) {
            String suggestion =
                    schemasByKey.keySet().stream()
                            .filter(
                                    known ->
                                            EditDistance.between(known, key)
                                                    <= MAXIMUM_SUGGESTION_DISTANCE)
                            .min(
                                    (one, other) ->
                                            Integer.compare(
                                                    EditDistance.between(one, key),
                                                    EditDistance.between(other, key)))
                            .map(known -> "did you mean " + known + "? ")
                            .orElse("");
            return new SettingsFault(join(path, key), "unknown key", suggestion + allowed());
        }

        @Override
        public String allowed() {
            return "the keys "
                    + String.join(", ", schemasByKey.keySet().stream().sorted().toList());
        }

        /**
         * Appends a key to a path.
         *
         * @param path The path, empty at the root.
         * @param key The key.
         * @return The path of the key.
         */
        private static String join(String path, String key) {
            return path.isEmpty() ? key : path + "." + key;
        }
    }

    /**
     * A list of values of one schema.
     *
     * @param element The schema of each value.
     * @param minimum The minimum number of values.
     */
    record ForList(SettingSchema element, int minimum) implements SettingSchema {

        @Override
        public void validate(String path, JsonNode node, Consumer<SettingsFault> faults) {
            if (!(node instanceof ArrayNode list) || list.size() < minimum) {
                faults.accept(new SettingsFault(path, describeKind(node), allowed()));
                return;
            }
            for (int index = 0; index < list.size(); index++) {
                element.validate("%s[%d]".formatted(path, index), list.get(index), faults);
            }
        }

        @Override
        public String allowed() {
            return "a list of %d or more".formatted(minimum);
        }

        @Override
        public Optional<JsonNode> defaultValue() {
            return minimum == 0
                    ? Optional.of(
                            com.fasterxml.jackson.databind.node.JsonNodeFactory.instance
                                    .arrayNode())
                    : Optional.empty();
        }
    }

    /**
     * An integer in a range.
     *
     * @param minimum The minimum, inclusive.
     * @param maximum The maximum, inclusive.
     * @param defaultNumber The default, or empty if the key is required.
     */
    record ForInteger(long minimum, long maximum, Optional<Long> defaultNumber)
            implements SettingSchema {

        @Override
        public void validate(String path, JsonNode node, Consumer<SettingsFault> faults) {
            if (!node.isIntegralNumber()
                    || !node.canConvertToLong()
                    || node.longValue() < minimum
                    || node.longValue() > maximum) {
                faults.accept(new SettingsFault(path, displayText(node), allowed()));
            }
        }

        @Override
        public String allowed() {
            return "a whole number from %d to %d".formatted(minimum, maximum);
        }

        @Override
        public Optional<JsonNode> defaultValue() {
            return defaultNumber.map(com.fasterxml.jackson.databind.node.LongNode::valueOf);
        }
    }

    /**
     * A text that satisfies a condition.
     *
     * @param condition The condition that a text has to satisfy.
     * @param allowed The description of the condition for error messages.
     * @param secret {@code true} if the value must not appear in error messages.
     */
    record ForString(Predicate<String> condition, String allowed, boolean secret)
            implements SettingSchema {

        @Override
        public void validate(String path, JsonNode node, Consumer<SettingsFault> faults) {
            if (!node.isTextual() || !condition.test(node.textValue())) {
                faults.accept(
                        new SettingsFault(path, secret ? "(hidden)" : displayText(node), allowed));
            }
        }
    }

    /**
     * Returns a value as it appears in error messages.
     *
     * @param node The value.
     * @return The value as text, or only the kind of an object or list, since it may contain
     *     secrets.
     */
    private static String displayText(JsonNode node) {
        return node.isValueNode() ? node.asText() : describeKind(node);
    }

    /**
     * Describes the kind of a value without revealing a secret that was put in the wrong place.
     *
     * @param node The value.
     * @return The kind of the value.
     */
    private static String describeKind(JsonNode node) {
        return switch (node.getNodeType()) {
            case ARRAY -> "a list of " + node.size();
            case OBJECT -> "a mapping";
            default -> "a single value";
        };
    }
}
