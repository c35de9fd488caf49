package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Holds what a command found, in both forms.
 *
 * @param lines The lines for a person.
 * @param document The JSON document.
 * @param exitCode The exit code that the finding means.
 */
public record CommandResult(List<String> lines, JsonNode document, ExitCode exitCode) {

    /** Creates a new finding. */
    public CommandResult {
        lines = List.copyOf(lines);
    }
}
