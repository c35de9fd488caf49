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

/** Traces one request through the logs of several entry instances. */
enum TraceCommand implements Command {

    /** The only constant, as commands are enum constants. */
    TRACE;

    /** Parses the events of log lines. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The lowest HTTP status that counts as a failure. */
    private static final int FIRST_FAILURE_STATUS = 400;

    /** The name of the event that is logged when a request ends. */
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
        List<LogEvent> events = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            events.addAll(readEvents(arguments.get(0), file));
        }
        events.sort(Comparator.comparingLong(LogEvent::timeMillis));
        return result(arguments.get(0), events);
    }

    /**
     * Reads the events of a request from a log.
     *
     * @param request The request's identifier.
     * @param file The path of the log.
     * @return The events in the order of the log.
     * @throws CommandException If the log can't be read.
     */
    private static List<LogEvent> readEvents(String request, String file) throws CommandException {
        List<LogEvent> found = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(Path.of(file), StandardCharsets.UTF_8)) {
                int start = line.indexOf('{');
                if (start >= 0 && line.contains(request)) {
                    parseEvent(file, line.substring(0, start).strip(), line.substring(start))
                            .filter(event -> request.equals(event.field("request")))
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
     * Parses a log line.
     *
     * @param file The path of the log.
     * @param prefix The text before the JSON object, such as a log collector adds; may be empty.
     * @param json The rest of the line.
     * @return The event, or empty if the line holds no JSON object.
     */
    private static Optional<LogEvent> parseEvent(String file, String prefix, String json) {
        try {
            JsonNode event = MAPPER.readTree(json);
            return event.isObject()
                    ? Optional.of(new LogEvent(prefix.isEmpty() ? file : prefix, event))
                    : Optional.empty();
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }

    /**
     * Builds the result of the command.
     *
     * @param request The request's identifier.
     * @param events The events of the request in order of time.
     * @return The result; no event counts as a fault.
     */
    private static CommandResult result(String request, List<LogEvent> events) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("request", request);
        document.put("cause", cause(events));
        List<String> lines = new ArrayList<>();
        for (LogEvent logEvent : events) {
            document.withArray("story").add(logEvent.event());
            lines.add(logEvent.source() + "  " + logEvent.event());
        }
        lines.add("cause: " + cause(events));
        return new CommandResult(
                lines, document, events.isEmpty() ? ExitCode.FAULTS_FOUND : ExitCode.SUCCESS);
    }

    /**
     * Determines the cause of a request's outcome.
     *
     * @param events The events of the request in order of time.
     * @return The outcome if the request succeeded or no attempt failed; otherwise the reason of
     *     the last failed attempt or refusal. Without events, a text that says so.
     */
    private static String cause(List<LogEvent> events) {
        String cause = "no line is about this request; it did not reach these instances";
        for (LogEvent logEvent : events) {
            String name = logEvent.field("event");
            boolean isFailure =
                    name.equals("attempt_failed")
                            || name.equals("request_refused")
                            || name.equals("request_rejected");
            if (isFailure) {
                cause = logEvent.field("reason");
            } else if (name.equals(ENDED_EVENT)
                    && logEvent.event().path("status").asInt() < FIRST_FAILURE_STATUS) {
                cause = logEvent.field("outcome");
            } else if (name.equals(ENDED_EVENT)
                    && events.stream().noneMatch(LogEvent::isFailedAttempt)) {
                cause = logEvent.field("outcome");
            }
        }
        return cause;
    }

    /**
     * An event from a log.
     *
     * @param source The path of the log, or the prefix that a log collector added to the line.
     * @param event The JSON object of the line.
     */
    private record LogEvent(String source, JsonNode event) {

        /**
         * Returns the text of a field.
         *
         * @param field The name of the field.
         * @return The text, or an empty string if the field is missing.
         */
        private String field(String field) {
            return event.path(field).asText();
        }

        /**
         * Returns the time of the event by the clock of the logging instance.
         *
         * @return The time in milliseconds since the epoch, or zero if it is missing.
         */
        private long timeMillis() {
            return event.path("time_ms").asLong();
        }

        /**
         * Returns {@code true} if this event reports a failed attempt to run the request.
         *
         * @return {@code true} if an attempt failed.
         */
        private boolean isFailedAttempt() {
            return field("event").equals("attempt_failed");
        }
    }
}
