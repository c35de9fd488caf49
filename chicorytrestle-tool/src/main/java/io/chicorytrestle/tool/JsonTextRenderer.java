package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Renders JSON documents as indented lines of text. */
final class JsonTextRenderer {

    /** The indentation of one level. */
    private static final String INDENTATION = "  ";

    /** Prevents instantiation. */
    private JsonTextRenderer() {}

    /**
     * Appends a document: one line for each field, and one for each element of a list.
     *
     * @param document A JSON object or list.
     * @param lines The list that receives the lines.
     */
    static void append(JsonNode document, List<String> lines) {
        if (document.isArray()) {
            document.forEach(element -> lines.add(INDENTATION + renderInline(element)));
            return;
        }
        document.fields()
                .forEachRemaining(field -> append(field.getKey(), field.getValue(), lines));
    }

    /**
     * Appends a field.
     *
     * @param name The name of the field.
     * @param value The value of the field.
     * @param lines The list that receives the lines.
     */
    private static void append(String name, JsonNode value, List<String> lines) {
        if (value.isArray()) {
            lines.add(INDENTATION + name + ":");
            value.forEach(element -> lines.add(INDENTATION.repeat(2) + renderInline(element)));
        } else {
            lines.add(INDENTATION + name + ": " + renderInline(value));
        }
    }

    /**
     * Renders a value on one line.
     *
     * @param value The value.
     * @return The text of the value; for an object its fields as {@code name=value} pairs.
     */
    private static String renderInline(JsonNode value) {
        if (value.isObject()) {
            List<String> pairs = new ArrayList<>();
            value.fields()
                    .forEachRemaining(
                            field ->
                                    pairs.add(
                                            field.getKey() + "=" + renderInline(field.getValue())));
            return String.join(" ", pairs);
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
