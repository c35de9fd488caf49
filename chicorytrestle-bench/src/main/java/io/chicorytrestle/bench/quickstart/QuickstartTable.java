package io.chicorytrestle.bench.quickstart;

import java.util.List;

/** Renders the table that the quickstart publishes and edits. */
final class QuickstartTable {

    /** The name of the pool of engines. */
    static final String CHAT_POOL = "guidance";

    /** The name of the pool of plain services. */
    static final String BOOKING_POOL = "booking";

    /** The multiple of the pool's mean load that no engine may exceed. */
    static final double BOUND_MULTIPLE = 1.25;

    /** The names of the workspaces. */
    static final List<String> WORKSPACES =
            List.of(
                    "live-guidance",
                    "parent-answers",
                    "fitting-reports",
                    "palermo-checks",
                    "catania-checks",
                    "messina-checks",
                    "booking-desk",
                    "recall-notices",
                    "training",
                    "archive-summaries");

    /**
     * The workspaces' ceiling in requests, to which the version is added to make versions differ.
     */
    private static final int BASE_CEILING = 100;

    /** Prevents instantiation. */
    private QuickstartTable() {}

    /**
     * Renders a version of the table.
     *
     * @param version The version.
     * @return The table in YAML.
     */
    static String toYaml(long version) {
        StringBuilder yaml = new StringBuilder("version: " + version + "\nworkspaces:\n");
        for (String workspace : WORKSPACES) {
            yaml.append(
                    "  - {name: %s, share: 2, ceiling: %d, priority: 5, queue: 100}%n"
                            .formatted(workspace, BASE_CEILING + version));
        }
        yaml.append("pools:\n");
        yaml.append(
                "  - {name: %s, kind: engine, multiple: %s, ceiling: 16, model: guidance-small, version: \"2026.1\"}%n"
                        .formatted(CHAT_POOL, BOUND_MULTIPLE));
        yaml.append("  - {name: %s, kind: service, ceiling: 64}%n".formatted(BOOKING_POOL));
        return yaml.toString();
    }
}
