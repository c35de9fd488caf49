package io.chicorytrestle.gateway.operations;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The gateway's metrics: counters, gauges and histograms, rendered as text. Safe for use by several
 * threads.
 */
public final class GatewayMetrics {

    /**
     * The number of latest samples a histogram keeps: enough for tail quantiles at a small memory
     * cost.
     */
    private static final int HISTOGRAM_SAMPLES = 256;

    /** The quantiles reported for each histogram. */
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    /** Holds all metrics by name. */
    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Returns the counter of a name, which is created at the first call.
     *
     * @param name The metric name in snake case, without the common prefix.
     * @return The counter.
     */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /**
     * Returns a counter with a {@code kind} label, which is created at the first call.
     *
     * @param name The metric name in snake case, without the common prefix.
     * @param kind The label's value, from a small fixed set.
     * @return The counter.
     */
    public Counter counter(String name, String kind) {
        return registry.counter(name + "{kind=\"" + kind + "\"}");
    }

    /**
     * Returns the histogram of a name, which is created at the first call.
     *
     * @param name The metric name in snake case, which ends with the unit.
     * @return The histogram.
     */
    public Histogram histogram(String name) {
        return registry.histogram(
                name, () -> new Histogram(new SlidingWindowReservoir(HISTOGRAM_SAMPLES)));
    }

    /**
     * Registers a gauge that is read each time the metrics are rendered.
     *
     * @param name The metric name in snake case, without the common prefix.
     * @param value Supplies the current value.
     */
    public void gauge(String name, LongSupplier value) {
        registry.registerGauge(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Renders all metrics as text, one sample per line.
     *
     * @return The text.
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach(
                        (name, counter) ->
                                appendLine(text, name, Long.toString(counter.getCount())));
        for (Map.Entry<String, Gauge> gauge : registry.getGauges().entrySet()) {
            appendLine(text, gauge.getKey(), String.valueOf(gauge.getValue().getValue()));
        }
        registry.getHistograms().forEach((name, histogram) -> histogram(text, name, histogram));
        return text.toString();
    }

    /**
     * Appends a histogram's quantiles and its count.
     *
     * @param text The text to append to.
     * @param name The name.
     * @param histogram The histogram to render.
     */
    private static void histogram(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            appendLine(
                    text,
                    name + "{quantile=\"" + quantile + "\"}",
                    String.format(Locale.ROOT, "%.1f", snapshot.getValue(quantile)));
        }
        appendLine(text, name + "_count", Long.toString(histogram.getCount()));
    }

    /**
     * Appends a sample.
     *
     * @param text The text to append to.
     * @param name The metric name with its labels.
     * @param value The value.
     */
    private static void appendLine(StringBuilder text, String name, String value) {
        text.append("chicorytrestle_").append(name).append(' ').append(value).append('\n');
    }
}
