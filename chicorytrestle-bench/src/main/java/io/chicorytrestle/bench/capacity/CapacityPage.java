package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Renders the generated part of the capacity page from a committed report. */
public final class CapacityPage {

    /** The marker line before the generated part. */
    static final String BEGIN = "<!-- begin of the generated part -->";

    /** The marker line after the generated part. */
    static final String END = "<!-- end of the generated part -->";

    /** The nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The factor from a ratio to a percentage. */
    private static final double PERCENT = 100;

    /** The bytes in a kilobyte. */
    private static final double BYTES_PER_KILOBYTE = 1_000;

    /** The report of {@link CapacitySlopesExperiment} that the page is rendered from. */
    private final JsonNode report;

    /**
     * Creates a new renderer.
     *
     * @param report The report of {@link CapacitySlopesExperiment}.
     */
    CapacityPage(JsonNode report) {
        this.report = report;
    }

    /**
     * Replaces the generated part of a page file.
     *
     * @param arguments The path of the report and the path of the page.
     * @throws IOException If a file cannot be read or written.
     */
    public static void main(String[] arguments) throws IOException {
        Path page = Path.of(arguments[1]);
        JsonNode report = new ObjectMapper().readTree(Path.of(arguments[0]).toFile());
        Files.writeString(page, new CapacityPage(report).replaceIn(Files.readString(page)));
    }

    /**
     * Replaces what stands between the markers of a page.
     *
     * @param page The text of the page, which contains both markers.
     * @return The page with its generated part rendered again.
     */
    String replaceIn(String page) {
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(END);
        return page.substring(0, begin) + BEGIN + "\n" + render() + page.substring(end);
    }

    /**
     * Renders the generated part.
     *
     * @return The tables of the target, the slopes and the roles in Markdown.
     */
    String render() {
        return renderTargets() + "\n" + renderSlopes() + "\n" + renderRoles();
    }

    /**
     * Renders the quantities of the target.
     *
     * @return A Markdown table.
     */
    private static String renderTargets() {
        StringBuilder text = new StringBuilder("| name | number | counts |\n|---|---|---|\n");
        for (TargetQuantity target : TargetQuantity.values()) {
            text.append(
                    "| %s | %s | %s |\n"
                            .formatted(target, target.formattedValue(), target.description()));
        }
        return text.toString();
    }

    /**
     * Renders the measured slopes with their points.
     *
     * @return A Markdown table.
     */
    private String renderSlopes() {
        StringBuilder text =
                new StringBuilder(
                        """
                        | measure | points (size: value) | slope | intercept | residual |
                        |---|---|---|---|---|
                        """);
        for (JsonNode slope : report.path("slopes")) {
            String points =
                    StreamSupport.stream(slope.path("points").spliterator(), false)
                            .map(CapacityPage::renderPoint)
                            .collect(Collectors.joining(", "));
            text.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %.1f %s for one %s | %.0f | %.3f |\n",
                            slope.path("key").asText(),
                            points,
                            slope.path("slope").asDouble(),
                            slope.path("unit").asText(),
                            slope.path("per").asText(),
                            slope.path("intercept").asDouble(),
                            slope.path("relativeResidual").asDouble()));
        }
        return text.toString();
    }

    /**
     * Renders the cost of each role and their total.
     *
     * @return A Markdown table.
     */
    private String renderRoles() {
        MeasuredSlopes measuredSlopes = MeasuredSlopes.of(report);
        StringBuilder text =
                new StringBuilder(
                        """
                        | role | state | messages/s | core | mechanism | worked out from |
                        |---|---|---|---|---|---|
                        """);
        double bytes = 0;
        double nanos = 0;
        for (NodeRole role : NodeRole.values()) {
            bytes += role.stateBytes(measuredSlopes);
            nanos += role.nanosPerSecond(measuredSlopes);
            text.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %,.0f kB | %,.1f | %.3f%% | %s | %s |\n",
                            role.title(),
                            role.stateBytes(measuredSlopes) / BYTES_PER_KILOBYTE,
                            role.messagesPerSecond(),
                            PERCENT * role.nanosPerSecond(measuredSlopes) / NANOS_PER_SECOND,
                            role.mechanism(),
                            role.formulas()));
        }
        text.append(
                String.format(
                        Locale.ROOT,
                        "| all | %,.0f kB | | %.3f%% | | |\n",
                        bytes / BYTES_PER_KILOBYTE,
                        PERCENT * nanos / NANOS_PER_SECOND));
        return text.toString();
    }

    /**
     * Renders a measured point.
     *
     * @param point The point as JSON.
     * @return The size and the value, separated by a colon.
     */
    private static String renderPoint(JsonNode point) {
        return String.format(
                Locale.ROOT,
                "%,d: %,.0f",
                point.path("size").asLong(),
                point.path("value").asDouble());
    }
}
