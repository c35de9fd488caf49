package io.chicorytrestle.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Enumerates the forms in which the tool prints its findings. */
public enum OutputFormat {

    /** Lines for a person. */
    TEXT {
        @Override
        String render(CommandResult finding) {
            return String.join(System.lineSeparator(), finding.lines());
        }
    },

    /** One JSON document on one line. */
    JSON {
        @Override
        String render(CommandResult finding) {
            try {
                return MAPPER.writeValueAsString(finding.document());
            } catch (JsonProcessingException exception) {
                throw new IllegalStateException("Cannot render finding as JSON", exception);
            }
        }
    };

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Returns the format of a name.
     *
     * @param name The name, in lower case.
     * @return The format, or empty if there is none of that name.
     */
    public static Optional<OutputFormat> of(String name) {
        return Arrays.stream(values())
                .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    /**
     * Renders a finding.
     *
     * @param finding The finding.
     * @return The text to print, without the last line break.
     */
    abstract String render(CommandResult finding);
}
