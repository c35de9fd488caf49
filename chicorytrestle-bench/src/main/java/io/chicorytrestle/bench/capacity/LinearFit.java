package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Holds the straight line that fits a measure best.
 *
 * @param key The name of the measure.
 * @param unit The unit of what was measured.
 * @param per What the sizes count.
 * @param points The measured points, smallest size first.
 * @param slope The cost of one more, in the unit.
 * @param intercept The cost at size zero, in the unit.
 * @param relativeResidual The root of the mean squared error as a part of the largest value.
 */
record LinearFit(
        String key,
        String unit,
        String per,
        List<Point> points,
        double slope,
        double intercept,
        double relativeResidual) {

    /**
     * Fits a line to measured points.
     *
     * @param measure The measure.
     * @param points The measured points, smallest size first.
     * @return The fitted line.
     */
    static LinearFit fit(Measure measure, List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.size(), point.value()));
        double largest = points.stream().mapToDouble(Point::value).max().orElse(1);
        double error = Math.sqrt(regression.getSumSquaredErrors() / points.size());
        return new LinearFit(
                measure.definition().key(),
                measure.definition().unit(),
                measure.definition().per(),
                List.copyOf(points),
                regression.getSlope(),
                regression.getIntercept(),
                error / largest);
    }

    /**
     * Returns the cost at a size.
     *
     * @param size The size.
     * @return The cost in the unit.
     */
    double predict(double size) {
        return intercept + slope * size;
    }

    /**
     * Writes this line as JSON.
     *
     * @param target Receives the fields.
     */
    void writeTo(ObjectNode target) {
        target.put("key", key).put("unit", unit).put("per", per);
        target.put("slope", slope).put("intercept", intercept);
        target.put("relativeResidual", relativeResidual);
        ArrayNode array = target.putArray("points");
        points.forEach(
                point -> array.addObject().put("size", point.size()).put("value", point.value()));
    }

    /**
     * Holds a measured point.
     *
     * @param size The size.
     * @param value The measured value.
     */
    record Point(double size, double value) {}
}
