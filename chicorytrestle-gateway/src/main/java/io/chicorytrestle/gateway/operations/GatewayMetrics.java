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

/** Counts what a gateway does and renders the figures as text. Several threads may call it. */
public final class GatewayMetrics {

    /** The newest samples that a histogram keeps; enough for a tail at small memory. */
    private static final int HISTOGRAM_SAMPLES = 256;

    /** The quantiles that are shown. */
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    /** Holds the figures. */
    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Returns a counter.
     *
     * @param name The name with an underscore between words.
     * @return The counter.
     */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /**
     * Returns a counter of one of several kinds of event.
     *
     * @param name The name with an underscore between words.
     * @param kind The kind, one of few.
     * @return The counter.
     */
    public Counter counter(String name, String kind) {
        return registry.counter(name + "{kind=\"" + kind + "\"}");
    }

    /**
     * Returns a histogram of durations.
     *
     * @param name The name, which ends with the unit.
     * @return The histogram.
     */
    public Histogram histogram(String name) {
        return registry.histogram(
                name, () -> new Histogram(new SlidingWindowReservoir(HISTOGRAM_SAMPLES)));
    }

    /**
     * Shows a figure that is read when asked for.
     *
     * @param name The name with an underscore between words.
     * @param value Tells the figure.
     */
    public void gauge(String name, LongSupplier value) {
        registry.registerGauge(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Renders all figures, one a line.
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
     * Renders a histogram.
     *
     * @param text The text to add to.
     * @param name The name.
     * @param histogram The histogram.
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
     * Adds a line.
     *
     * @param text The text to add to.
     * @param name The name.
     * @param value The value.
     */
    private static void appendLine(StringBuilder text, String name, String value) {
        text.append("chicorytrestle_").append(name).append(' ').append(value).append('\n');
    }
}
