package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Holds the slopes of a report by their keys. */
final class MeasuredSlopes {

    /** The slopes as reported, by key. */
    private final Map<String, JsonNode> slopes;

    /**
     * Creates new slopes.
     *
     * @param slopes The slopes as reported, by key.
     */
    private MeasuredSlopes(Map<String, JsonNode> slopes) {
        this.slopes = slopes;
    }

    /**
     * Reads the slopes of a report.
     *
     * @param report The report of the experiment.
     * @return The slopes.
     */
    static MeasuredSlopes of(JsonNode report) {
        Map<String, JsonNode> slopes = new HashMap<>();
        report.path("slopes").forEach(slope -> slopes.put(slope.path("key").asText(), slope));
        return new MeasuredSlopes(slopes);
    }

    /**
     * Returns the cost of one more.
     *
     * @param key The measure.
     * @return The cost in the measure's unit.
     * @throws IllegalArgumentException If there is no such measure.
     */
    double unitCost(String key) {
        return find(key).path("slope").asDouble();
    }

    /**
     * Returns the cost at a size.
     *
     * @param key The measure.
     * @param size The size.
     * @return The cost in the measure's unit.
     * @throws IllegalArgumentException If there is no such measure.
     */
    double cost(String key, double size) {
        return find(key).path("intercept").asDouble() + unitCost(key) * size;
    }

    /**
     * Finds a slope.
     *
     * @param key The measure.
     * @return The slope as reported.
     * @throws IllegalArgumentException If there is no such measure.
     */
    private JsonNode find(String key) {
        JsonNode slope = slopes.get(key);
        if (slope == null) {
            throw new IllegalArgumentException("Cannot find measure: " + key);
        }
        return slope;
    }
}
