package io.chicorytrestle.core.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.List;

/**
 * Parses tables from YAML. The result depends on nothing but the content, so that all instances
 * accept or refuse the same tables.
 */
public enum TableParser {

    /** The singleton instance. */
    INSTANCE;

    /** The maximum size of a table as YAML. */
    public static final int MAXIMUM_BYTES = 1_000_000;

    /** The maximum number of rows in a section. */
    public static final int MAXIMUM_ROWS = 4_096;

    /** The row name in faults that concern the whole table. */
    static final String WHOLE_TABLE = "table";

    /** Reads YAML and refuses duplicate keys. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                    YAMLFactory.builder()
                            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .build());

    /**
     * Parses a table.
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
     * Creates the result for a table that is refused as a whole.
     *
     * @param value The refused value, or an empty string.
     * @param reason The reason why the table is refused.
     * @return The refusal.
     */
    private static TableParseResult refused(String value, String reason) {
        return new TableParseResult.Refused(
                List.of(new TableFault(WHOLE_TABLE, "", value, reason)));
    }

    /**
     * Returns the first line of a parser's message, which may have several.
     *
     * @param text The parser's message.
     * @return The first line, or the text itself if it is empty.
     */
    private static String firstLine(String text) {
        return text.lines().findFirst().orElse(text);
    }
}
