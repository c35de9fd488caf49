package io.chicorytrestle.core.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.List;

/** Reads tables written as YAML. Every instance accepts or refuses the same bytes. */
public enum TableParser {

    /** The singleton instance. */
    INSTANCE;

    /** The most bytes that a written table may have. */
    public static final int MAXIMUM_BYTES = 1_000_000;

    /** The most rows that a section may have. */
    public static final int MAXIMUM_ROWS = 4_096;

    /** The row that a fault of the whole table names. */
    static final String WHOLE_TABLE = "table";

    /** Reads YAML and refuses keys that are given twice. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                    YAMLFactory.builder()
                            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .build());

    /**
     * Reads a table.
     *
     * @param content The table as YAML.
     * @return The table, or all faults.
     */
    public TableParseResult parse(byte[] content) {
        if (content.length > MAXIMUM_BYTES) {
            return refused(content.length + " bytes", "larger than " + MAXIMUM_BYTES + " bytes");
        }
        JsonNode root;
        try {
            root = MAPPER.readTree(content);
        } catch (JsonProcessingException exception) {
            return refused("", "not YAML: " + firstLine(exception.getOriginalMessage()));
        } catch (IOException exception) {
            return refused("", "not readable: " + exception.getMessage());
        } catch (RuntimeException exception) {
            return refused("", "not YAML: " + firstLine(String.valueOf(exception.getMessage())));
        }
        return root != null && root.isObject()
                ? new TableDecoder(root).decode()
                : refused("", "not a map with the keys version, workspaces and pools");
    }

    /**
     * Refuses the whole table.
     *
     * @param value The refused value.
     * @param reason Why the table cannot be used.
     * @return The refusal.
     */
    private static TableParseResult refused(String value, String reason) {
        return new TableParseResult.Refused(
                List.of(new TableFault(WHOLE_TABLE, "", value, reason)));
    }

    /**
     * Returns the first line of a text.
     *
     * @param text The text.
     * @return The first line of the text.
     */
    private static String firstLine(String text) {
        return text.lines().findFirst().orElse(text);
    }
}
