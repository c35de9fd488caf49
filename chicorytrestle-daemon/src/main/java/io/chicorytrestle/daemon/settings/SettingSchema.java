package io.chicorytrestle.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Describes which values a part of the settings may have. */
sealed interface SettingSchema {

    /**
     * Checks a value and fills in the defaults of missing keys.
     *
     * @param path The path of the value.
     * @param node The value; objects in it are completed in place.
     * @param faults Receives each fault.
     */
    void validate(String path, JsonNode node, Consumer<SettingsFault> faults);

    /**
     * Returns what is allowed, for errors.
     *
     * @return What is allowed.
     */
    String allowed();

    /**
     * Returns the value that a missing key takes.
     *
     * @return The default value, or empty if the key is required.
     */
    default Optional<JsonNode> defaultValue() {
        return Optional.empty();
    }

    /**
     * A mapping of known keys.
     *
     * @param schemasByKey The shapes by key.
     */
    record ForObject(Map<String, SettingSchema> schemasByKey) implements SettingSchema {

        /** The most edits between an unknown key and the known key that is suggested for it. */
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
                    (key, shape) -> validateKey(join(path, key), key, shape, object, faults));
        }

        /**
         * Checks the value of one key.
         *
         * @param path The path of the key.
         * @param key The key.
         * @param shape The shape of its value.
         * @param object The object that may hold the key.
         * @param faults Receives each fault.
         */
        private static void validateKey(
                String path,
                String key,
                SettingSchema shape,
                ObjectNode object,
                Consumer<SettingsFault> faults) {
            JsonNode value = object.get(key);
            if (value == null || value.isNull()) {
                Optional<JsonNode> fallback = shape.defaultValue();
                if (fallback.isEmpty() && !(shape instanceof ForObject)) {
                    faults.accept(new SettingsFault(path, "missing", shape.allowed()));
                    return;
                }
                value = fallback.orElseGet(object::objectNode);
                object.set(key, value);
            }
            shape.validate(path, value, faults);
        }

        /**
         * Returns the fault of an unknown key.
         *
         * @param path The path of the object.
         * @param key The unknown key.
         * @return The fault, with the nearest known key if one is near.
         */
        private SettingsFault unknownKey(String path, String key) {
            String near =
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
            return new SettingsFault(join(path, key), "unknown key", near + allowed());
        }

        @Override
        public String allowed() {
            return "the keys "
                    + String.join(", ", schemasByKey.keySet().stream().sorted().toList());
        }

        /**
         * Joins a path and a key.
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
     * A list of values of one shape.
     *
     * @param element The shape of each value.
     * @param minimum The fewest values.
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
     * A whole number in a range.
     *
     * @param minimum The smallest number.
     * @param maximum The largest number.
     * @param defaultNumber The number that a missing key takes, or empty if the key is required.
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
     * @param condition The condition.
     * @param allowed What satisfies the condition, for errors.
     * @param secret {@code true} if the text must not be shown.
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
     * Returns a value as it is shown in errors.
     *
     * @param node The value.
     * @return The value as text; of an object or list only its kind, since it may hold secrets.
     */
    private static String displayText(JsonNode node) {
        return node.isValueNode() ? node.asText() : describeKind(node);
    }

    /**
     * Returns the kind of a value, which tells nothing of a secret that was put in a wrong place.
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
