package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Measures how costs grow with size, from which the cost at the target size is extrapolated. */
public final class CapacitySlopesExperiment implements Experiment {

    /** The maximum root mean squared error of a fit, as a share of the largest value. */
    private static final double MAXIMUM_RELATIVE_RESIDUAL = 0.1;

    @Override
    public String name() {
        return "capacity-slopes";
    }

    @Override
    public String summary() {
        return "state, time and bytes against the sizes that grow";
    }

    @Override
    public Report run(ExperimentOptions options) throws Exception {
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("experiment", name()).put("seed", options.seed());
        figures.put("maximumRelativeResidual", MAXIMUM_RELATIVE_RESIDUAL);
        ArrayNode array = figures.putArray("slopes");
        boolean fits = true;
        for (Measure measure : measures()) {
            LinearFit line = fit(measure, options.seed());
            line.writeTo(array.addObject());
            fits &= line.relativeResidual() <= MAXIMUM_RELATIVE_RESIDUAL;
        }
        return new Report(figures, fits);
    }

    /**
     * Returns all measures.
     *
     * @return All measures in the order of the report.
     */
    static List<Measure> measures() {
        List<Measure> measures = new ArrayList<>();
        measures.addAll(Arrays.asList(StateMeasure.values()));
        measures.addAll(Arrays.asList(TimeMeasure.values()));
        return measures;
    }

    /**
     * Samples a measure at all its sizes and fits a line.
     *
     * @param measure The measure.
     * @param seed The seed of random choices.
     * @return The fitted line.
     * @throws Exception If a sample failed.
     */
    private static LinearFit fit(Measure measure, long seed) throws Exception {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int size : measure.definition().sizes()) {
            points.add(new LinearFit.Point(size, measure.sample(size, seed)));
        }
        return LinearFit.fit(measure, points);
    }
}
