package io.chicorytrestle.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Enumerates the formats in which the tool prints results. */
public enum OutputFormat {

    /** Lines of text for people. */
    TEXT {
        @Override
        String render(CommandResult result) {
            return String.join(System.lineSeparator(), result.lines());
        }
    },

    /** A JSON document on one line. */
    JSON {
        @Override
        String render(CommandResult result) {
            try {
                return MAPPER.writeValueAsString(result.document());
            } catch (JsonProcessingException exception) {
                throw new IllegalStateException("Cannot render result as JSON", exception);
            }
        }
    };

    /** Serialises the documents. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Returns the format of a name.
     *
     * @param name The name in lower case, as given on the command line.
     * @return The format, or empty if there is no such format.
     */
    public static Optional<OutputFormat> of(String name) {
        return Arrays.stream(values())
                .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    /**
     * Renders a result.
     *
     * @param result The result of a command.
     * @return The text to print, without a trailing line break.
     */
    abstract String render(CommandResult result);
}
