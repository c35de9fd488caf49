package io.chicorytrestle.gateway.document;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Reads the fields of a JSON object and names the field that cannot be read. */
public final class JsonFields {

    /** The values by name. */
    private final Map<?, ?> values;

    /**
     * Creates new fields.
     *
     * @param values The values by name.
     */
    private JsonFields(Map<?, ?> values) {
        this.values = values;
    }

    /**
     * Reads an object.
     *
     * @param bytes The text.
     * @return The fields.
     * @throws MalformedDocumentException If the text is no object.
     */
    public static JsonFields parse(byte[] bytes) throws MalformedDocumentException {
        try {
            return new JsonFields(JSON.std.mapFrom(new String(bytes, StandardCharsets.UTF_8)));
        } catch (IOException exception) {
            throw new MalformedDocumentException("Document is no JSON object", exception);
        }
    }

    /**
     * Reads a text.
     *
     * @param name The name of the field.
     * @return The text.
     * @throws MalformedDocumentException If the field is missing or of another type.
     */
    public String string(String name) throws MalformedDocumentException {
        if (values.get(name) instanceof String text) {
            return text;
        }
        throw new MalformedDocumentException("Field " + name + " is no text");
    }

    /**
     * Reads a number.
     *
     * @param name The name of the field.
     * @return The number.
     * @throws MalformedDocumentException If the field is missing or of another type.
     */
    public double number(String name) throws MalformedDocumentException {
        if (values.get(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedDocumentException("Field " + name + " is no number");
    }

    /**
     * Reads a whole number.
     *
     * @param name The name of the field.
     * @return The number.
     * @throws MalformedDocumentException If the field is missing or of another type.
     */
    public long integer(String name) throws MalformedDocumentException {
        if (values.get(name) instanceof Number number
                && (number instanceof Long || number instanceof Integer)) {
            return number.longValue();
        }
        throw new MalformedDocumentException("Field " + name + " is no whole number");
    }

    /**
     * Reads a whole number that may be missing.
     *
     * @param name The name of the field.
     * @return The number, or empty if the field is missing.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public OptionalLong optionalInteger(String name) throws MalformedDocumentException {
        return values.get(name) == null ? OptionalLong.empty() : OptionalLong.of(integer(name));
    }

    /**
     * Reads a truth value that may be missing.
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
        throw new MalformedDocumentException("Field " + name + " is no truth value");
    }

    /**
     * Reads a list of objects that may be missing.
     *
     * @param name The name of the field.
     * @return The objects.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public List<JsonFields> objects(String name) throws MalformedDocumentException {
        List<JsonFields> objects = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof Map<?, ?> map)) {
                throw new MalformedDocumentException("Field " + name + " lists no objects");
            }
            objects.add(new JsonFields(map));
        }
        return objects;
    }

    /**
     * Reads a list of texts that may be missing.
     *
     * @param name The name of the field.
     * @return The texts.
     * @throws MalformedDocumentException If the field is of another type.
     */
    public List<String> strings(String name) throws MalformedDocumentException {
        List<String> texts = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof String text)) {
                throw new MalformedDocumentException("Field " + name + " lists no texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /**
     * Reads an object that may be missing.
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
        throw new MalformedDocumentException("Field " + name + " is no object");
    }

    /**
     * Reads a list that may be missing.
     *
     * @param name The name of the field.
     * @return The elements.
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
        throw new MalformedDocumentException("Field " + name + " is no list");
    }
}
