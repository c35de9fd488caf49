package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * The least-squares line through the samples of a measure.
 *
 * @param key The name of the measure.
 * @param unit The unit of the values.
 * @param per The noun, in the singular, for what the sizes count.
 * @param points The measured points in ascending order of size.
 * @param slope The cost that one more unit of size adds, in the unit of the values.
 * @param intercept The cost at size zero, in the unit.
 * @param relativeResidual The root mean squared error as a share of the largest value.
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
     * Fits a line to measured points by least squares.
     *
     * @param measure The measure.
     * @param points The measured points in ascending order of size.
     * @return The fitted line.
     */
    static LinearFit fit(Measure measure, List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.size(), point.value()));
        double largest = points.stream().mapToDouble(Point::value).max().orElse(1);
        double rootMeanSquaredError = Math.sqrt(regression.getSumSquaredErrors() / points.size());
        return new LinearFit(
                measure.definition().key(),
                measure.definition().unit(),
                measure.definition().per(),
                List.copyOf(points),
                regression.getSlope(),
                regression.getIntercept(),
                rootMeanSquaredError / largest);
    }

    /**
     * Predicts the cost at a size.
     *
     * @param size The size.
     * @return The predicted cost in the unit.
     */
    double predict(double size) {
        return intercept + slope * size;
    }

    /**
     * Writes this line as JSON.
     *
     * @param target The object to add the fields to.
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
     * A measured point.
     *
     * @param size The size.
     * @param value The measured value in the unit.
     */
    record Point(double size, double value) {}
}
