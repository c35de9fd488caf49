package io.chicorytrestle.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;

/**
 * The body with the values of all metrics.
 *
 * @param gauges The values of the gauges by name.
 * @param counters The values of the counters by name.
 * @param histograms The distributions of the histograms by name.
 * @param timers The distributions of the timers by name, in milliseconds.
 */
record MetricBodies(
        Map<String, Object> gauges,
        Map<String, Long> counters,
        Map<String, Distribution> histograms,
        Map<String, Distribution> timers) {

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Reads the current values of all metrics.
     *
     * @param registry The metrics of the process.
     * @return The body.
     */
    static MetricBodies of(MetricRegistry registry) {
        Map<String, Object> gauges = new TreeMap<>();
        registry.getGauges().forEach((name, gauge) -> gauges.put(name, gauge.getValue()));
        Map<String, Long> counters = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
        Map<String, Distribution> histograms = new TreeMap<>();
        registry.getHistograms()
                .forEach(
                        (name, histogram) ->
                                histograms.put(
                                        name,
                                        Distribution.of(
                                                histogram.getCount(), histogram.getSnapshot(), 1)));
        Map<String, Distribution> timers = new TreeMap<>();
        registry.getTimers()
                .forEach(
                        (name, timer) ->
                                timers.put(
                                        name,
                                        Distribution.of(
                                                timer.getCount(),
                                                timer.getSnapshot(),
                                                NANOS_PER_MILLI)));
        return new MetricBodies(gauges, counters, histograms, timers);
    }

    /**
     * Summarises the distribution of a metric.
     *
     * @param count The number of recorded values.
     * @param mean The mean of the sampled values.
     * @param median The median of the sampled values.
     * @param p95 The 95th percentile.
     * @param p99 The 99th percentile.
     * @param maximum The maximum of the sampled values.
     */
    record Distribution(
            long count, double mean, double median, double p95, double p99, double maximum) {

        /**
         * Summarises a snapshot.
         *
         * @param count The number of recorded values.
         * @param snapshot The sampled values.
         * @param unit The divisor that converts the values to the unit of the body.
         * @return The distribution.
         */
        static Distribution of(long count, Snapshot snapshot, double unit) {
            return new Distribution(
                    count,
                    snapshot.getMean() / unit,
                    snapshot.getMedian() / unit,
                    snapshot.get95thPercentile() / unit,
                    snapshot.get99thPercentile() / unit,
                    snapshot.getMax() / unit);
        }
    }
}
