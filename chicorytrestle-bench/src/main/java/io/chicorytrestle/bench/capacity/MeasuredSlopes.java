package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Looks up the fitted lines of a report by measure. */
final class MeasuredSlopes {

    /** The fitted lines as JSON, by key of the measure. */
    private final Map<String, JsonNode> slopes;

    /**
     * Creates a new lookup.
     *
     * @param slopes The fitted lines as JSON, by key of the measure.
     */
    private MeasuredSlopes(Map<String, JsonNode> slopes) {
        this.slopes = slopes;
    }

    /**
     * Reads the fitted lines of a report.
     *
     * @param report The report of {@link CapacitySlopesExperiment}.
     * @return The lookup.
     */
    static MeasuredSlopes of(JsonNode report) {
        Map<String, JsonNode> slopes = new HashMap<>();
        report.path("slopes").forEach(line -> slopes.put(line.path("key").asText(), line));
        return new MeasuredSlopes(slopes);
    }

    /**
     * Returns the cost that one more unit of size adds.
     *
     * @param key The key of the measure.
     * @return The cost in the measure's unit.
     * @throws IllegalArgumentException If the report has no such measure.
     */
    double unitCost(String key) {
        return find(key).path("slope").asDouble();
    }

    /**
     * Returns the predicted cost at a size.
     *
     * @param key The key of the measure.
     * @param size The size.
     * @return The cost in the measure's unit.
     * @throws IllegalArgumentException If the report has no such measure.
     */
    double cost(String key, double size) {
        return find(key).path("intercept").asDouble() + unitCost(key) * size;
    }

    /**
     * Finds the fitted line of a measure.
     *
     * @param key The key of the measure.
     * @return The fitted line as JSON.
     * @throws IllegalArgumentException If the report has no such measure.
     */
    private JsonNode find(String key) {
        JsonNode line = slopes.get(key);
        if (line == null) {
            throw new IllegalArgumentException("No such measure in the report: " + key);
        }
        return line;
    }
}
