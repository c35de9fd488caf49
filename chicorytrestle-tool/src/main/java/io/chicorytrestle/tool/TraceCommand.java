package io.chicorytrestle.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Tells the story of one request from the logs of several instances. */
enum TraceCommand implements Command {

    /** The only such command. */
    TRACE;

    /** Reads log lines. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The least status of an answer that is no success. */
    private static final int FIRST_FAILURE_STATUS = 400;

    /** The event that ends a request's story. */
    private static final String ENDED_EVENT = "request_ended";

    @Override
    public String commandName() {
        return "trace";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID LOG...";
    }

    @Override
    public String summary() {
        return "tells the story and the cause of one request from instances' logs";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public CommandResult run(CommandLine line) throws CommandException {
        List<String> arguments = line.getArgList();
        if (arguments.size() < 2) {
            throw new CommandException(
                    ExitCode.USAGE, "Cannot trace without a request and a log: " + arguments());
        }
        List<LogEvent> story = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            story.addAll(readEvents(arguments.get(0), file));
        }
        story.sort(Comparator.comparingLong(LogEvent::timeMillis));
        return result(arguments.get(0), story);
    }

    /**
     * Reads the lines of a log that are about a request.
     *
     * @param request The identifier of the request.
     * @param file The path of the log.
     * @return The lines.
     * @throws CommandException If the log cannot be read.
     */
    private static List<LogEvent> readEvents(String request, String file) throws CommandException {
        List<LogEvent> found = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(Path.of(file), StandardCharsets.UTF_8)) {
                int start = line.indexOf('{');
                if (start >= 0 && line.contains(request)) {
                    parseEvent(file, line.substring(0, start).strip(), line.substring(start))
                            .filter(told -> request.equals(told.field("request")))
                            .ifPresent(found::add);
                }
            }
        } catch (IOException exception) {
            throw new CommandException(
                    ExitCode.USAGE, "Cannot read log " + file + ": " + exception.getMessage());
        }
        return found;
    }

    /**
     * Reads a line.
     *
     * @param file The path of the log.
     * @param before What a collector wrote before the line.
     * @param json The line.
     * @return The line, or empty if it is no event.
     */
    private static Optional<LogEvent> parseEvent(String file, String before, String json) {
        try {
            JsonNode event = MAPPER.readTree(json);
            return event.isObject()
                    ? Optional.of(new LogEvent(before.isEmpty() ? file : before, event))
                    : Optional.empty();
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }

    /**
     * Builds the finding.
     *
     * @param request The identifier of the request.
     * @param story The lines in order of time.
     * @return The finding.
     */
    private static CommandResult result(String request, List<LogEvent> story) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("request", request);
        document.put("cause", cause(story));
        List<String> lines = new ArrayList<>();
        for (LogEvent told : story) {
            document.withArray("story").add(told.event());
            lines.add(told.source() + "  " + told.event());
        }
        lines.add("cause: " + cause(story));
        return new CommandResult(
                lines, document, story.isEmpty() ? ExitCode.FAULTS_FOUND : ExitCode.SUCCESS);
    }

    /**
     * Names the cause of a request's outcome.
     *
     * @param story The lines in order of time.
     * @return The reason of the last failed attempt, else the outcome.
     */
    private static String cause(List<LogEvent> story) {
        String cause = "no line is about this request; it did not reach these instances";
        for (LogEvent told : story) {
            String event = told.field("event");
            boolean isFailure =
                    event.equals("attempt_failed")
                            || event.equals("request_refused")
                            || event.equals("request_rejected");
            if (isFailure) {
                cause = told.field("reason");
            } else if (event.equals(ENDED_EVENT)
                    && told.event().path("status").asInt() < FIRST_FAILURE_STATUS) {
                cause = told.field("outcome");
            } else if (event.equals(ENDED_EVENT) && story.stream().noneMatch(LogEvent::isFailedAttempt)) {
                cause = told.field("outcome");
            }
        }
        return cause;
    }

    /**
     * Holds a line of a log.
     *
     * @param source The log, or what its collector wrote before the line.
     * @param event The line.
     */
    private record LogEvent(String source, JsonNode event) {

        /**
         * Returns a field.
         *
         * @param field The name of the field.
         * @return The text, or an empty one if the field is missing.
         */
        private String field(String field) {
            return event.path(field).asText();
        }

        /**
         * Returns the time of the event by the clock of its instance.
         *
         * @return The time in milliseconds since the epoch.
         */
        private long timeMillis() {
            return event.path("time_ms").asLong();
        }

        /**
         * Returns {@code true} if the line tells of a failed attempt.
         *
         * @return {@code true} if the line tells of a failed attempt.
         */
        private boolean isFailedAttempt() {
            return field("event").equals("attempt_failed");
        }
    }
}
