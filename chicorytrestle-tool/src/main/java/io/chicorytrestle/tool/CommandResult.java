package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The result of a command in both output formats.
 *
 * @param lines The lines of the text format.
 * @param document The document of the JSON format.
 * @param exitCode The exit code of the process.
 */
public record CommandResult(List<String> lines, JsonNode document, ExitCode exitCode) {

    /** Creates a new result from a copy of the lines. */
    public CommandResult {
        lines = List.copyOf(lines);
    }
}
