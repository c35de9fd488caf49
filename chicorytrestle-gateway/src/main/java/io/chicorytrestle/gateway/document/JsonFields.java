package io.chicorytrestle.gateway.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Typed access to the fields of a JSON object. Errors name the field that is missing or of the
 * wrong type.
 */
public final class JsonFields {

    /** The maximum number of nested objects and arrays, above that of any document in use. */
    private static final int MAXIMUM_NESTING_DEPTH = 32;

    /**
     * Parses JSON; it refuses documents that would overflow the stack, and keeps no names of their
     * fields, since names of any number and with equal hash codes may come.
     */
    private static final JSON PARSER =
            JSON.builder(
                            JsonFactory.builder()
                                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                                                    .build())
                                    .build())
                    .build();

    /** The field values by name. */
    private final Map<?, ?> values;

    /**
     * Wraps a parsed JSON object.
     *
     * @param values The field values by name.
     */
    private JsonFields(Map<?, ?> values) {
        this.values = values;
    }

    /**
     * Parses a JSON object.
     *
     * @param bytes The JSON text in UTF-8.
     * @return The fields.
     * @throws MalformedDocumentException If the text is not a JSON object, is nested too deeply or
     *     holds a number of too many digits.
     */
    public static JsonFields parse(byte[] bytes) throws MalformedDocumentException {
        return new JsonFields(parseValues(new String(bytes, StandardCharsets.UTF_8)));
    }

    /**
     * Parses a JSON object.
     *
     * @param text The JSON text.
     * @return The field values by name.
     * @throws MalformedDocumentException If the text is not a JSON object, is nested too deeply or
     *     holds a number of too many digits.
     */
    public static Map<String, Object> parseValues(String text) throws MalformedDocumentException {
        try {
            Map<String, Object> values = PARSER.mapFrom(text);
            if (values == null) {
                throw new MalformedDocumentException("Document is null instead of a JSON object");
            }
            return values;
        } catch (IOException exception) {
            throw new MalformedDocumentException("Document is not a JSON object", exception);
        }
    }

    /**
     * Encodes some of the fields.
     *
     * @param names The names of the fields to encode, where they are present.
     * @return A JSON object in UTF-8.
     * @throws IllegalStateException Never, since the values were parsed.
     */
    public byte[] encodeOnly(Set<String> names) {
        Map<Object, Object> selected = new LinkedHashMap<>(values);
        selected.keySet().retainAll(names);
        try {
            return PARSER.asBytes(selected);
        } catch (IOException exception) {
            throw new IllegalStateException("Parsed fields cannot be encoded", exception);
        }
    }

    /**
     * Reads a required string.
     *
     * @param name The name of the field.
     * @return The string, which may be empty.
     * @throws MalformedDocumentException If the field is missing or of another type.
     */
    public String string(String name) throws MalformedDocumentException {
        if (values.get(name) instanceof String text) {
            return text;
        }
        throw new MalformedDocumentException("Field " + name + " is missing or not a text");
    }

    /**
     * Reads a string from a field whose other values are ignored.
     *
     * @param name The name of the field.
     * @return The string, or empty if the field is missing or of another type.
     */
    public Optional<String> stringIfAny(String name) {
        return values.get(name) instanceof String text ? Optional.of(text) : Optional.empty();
    }

    /**
     * Reads a required number.
     *
     * @param name The name of the field.
     * @return The number.
     * @throws MalformedDocumentException If the field is missing or of another type.
     */
    public double number(String name) throws MalformedDocumentException {
        if (values.get(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedDocumentException("Field " + name + " is missing or not a number");
    }

    /**
     * Reads a required integer.
     *
     * @param name The name of the field.
     * @return The integer.
     * @throws MalformedDocumentException If the field is missing or not an integer of at most 64
     *     bits.
     */
    public long integer(String name) throws MalformedDocumentException {
        if (values.get(name) instanceof Number number
                && (number instanceof Long || number instanceof Integer)) {
            return number.longValue();
        }
        throw new MalformedDocumentException("Field " + name + " is missing or not a whole number");
    }

    /**
     * Reads a required integer of at most 32 bits.
     *
     * @param name The name of the field.
     * @return The integer.
     * @throws MalformedDocumentException If the field is missing or not an integer of at most 32
     *     bits.
     */
    public int smallInteger(String name) throws MalformedDocumentException {
        long number = integer(name);
        if (number != (int) number) {
            throw new MalformedDocumentException("Field " + name + " is out of range: " + number);
        }
        return (int) number;
    }

    /**
     * Reads an optional integer.
     *
     * @param name The name of the field.
     * @return The number, or empty if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public OptionalLong optionalInteger(String name) throws MalformedDocumentException {
        return values.get(name) == null ? OptionalLong.empty() : OptionalLong.of(integer(name));
    }

    /**
     * Reads an optional number.
     *
     * @param name The name of the field.
     * @return The number, or empty if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public OptionalDouble optionalNumber(String name) throws MalformedDocumentException {
        return values.get(name) == null ? OptionalDouble.empty() : OptionalDouble.of(number(name));
    }

    /**
     * Reads an optional boolean.
     *
     * @param name The name of the field.
     * @return The value, or false if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public boolean flag(String name) throws MalformedDocumentException {
        Object value = values.get(name);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new MalformedDocumentException("Field " + name + " is not a boolean");
    }

    /**
     * Reads an optional array of objects.
     *
     * @param name The name of the field.
     * @return The objects, none if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public List<JsonFields> objects(String name) throws MalformedDocumentException {
        List<JsonFields> objects = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof Map<?, ?> map)) {
                throw new MalformedDocumentException(
                        "Field " + name + " lists an element that is not an object");
            }
            objects.add(new JsonFields(map));
        }
        return objects;
    }

    /**
     * Reads an optional array of strings.
     *
     * @param name The name of the field.
     * @return The strings, none if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public List<String> strings(String name) throws MalformedDocumentException {
        List<String> texts = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof String text)) {
                throw new MalformedDocumentException(
                        "Field " + name + " lists an element that is not a text");
            }
            texts.add(text);
        }
        return texts;
    }

    /**
     * Reads an optional object.
     *
     * @param name The name of the field.
     * @return The object, or empty if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public Optional<JsonFields> object(String name) throws MalformedDocumentException {
        Object value = values.get(name);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof Map<?, ?> map) {
            return Optional.of(new JsonFields(map));
        }
        throw new MalformedDocumentException("Field " + name + " is not an object");
    }

    /**
     * Reads an optional array.
     *
     * @param name The name of the field.
     * @return The elements, none if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    private List<?> list(String name) throws MalformedDocumentException {
        Object value = values.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MalformedDocumentException("Field " + name + " is not an array");
    }
}
