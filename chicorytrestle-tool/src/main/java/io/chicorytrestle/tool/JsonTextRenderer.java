package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Renders JSON documents as lines for a person. */
final class JsonTextRenderer {

    /** The indentation of a line. */
    private static final String INDENTATION = "  ";

    /** Prevents instances. */
    private JsonTextRenderer() {}

    /**
     * Appends a document, one line for each value that holds no list, one for each list element.
     *
     * @param document The document.
     * @param lines Receives the lines.
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
     * Appends a named value.
     *
     * @param name The value's name.
     * @param value The value.
     * @param lines Receives the lines.
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
     * @return The value's text, objects as name and value pairs.
     */
    private static String renderInline(JsonNode value) {
        if (value.isObject()) {
            List<String> pairs = new ArrayList<>();
            value.fields()
                    .forEachRemaining(
                            field -> pairs.add(field.getKey() + "=" + renderInline(field.getValue())));
            return String.join(" ", pairs);
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
