package io.chicorytrestle.bench.overhead;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures one of the two servers that are compared and accumulates the results over all rounds.
 */
final class MeasuredServer {

    /** The percentile of the median. */
    static final double MEDIAN = 50;

    /** The percentile of slow requests. */
    static final double P99 = 99;

    /** The duration of a probe in milliseconds. */
    private static final long PROBE_MILLIS = 50;

    /** The number of significant digits of latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The prefix of the names of the server's threads. */
    private final String threadNamePrefix;

    /** The requests to send and the expected response. */
    private final ClosedLoopLoadGenerator.RequestTemplate template;

    /** Sends the requests. */
    private final ClosedLoopLoadGenerator load;

    /** The latencies in nanoseconds, measured with few requests in flight. */
    private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);

    /** The number of complete responses, measured with many requests in flight. */
    private long completeResponses;

    /** The duration of the throughput measurements in nanoseconds. */
    private long elapsedNanos;

    /** The server's CPU time during the throughput measurements in microseconds. */
    private long cpuMicros;

    /** The number of measured requests without a complete response. */
    private long failures;

    /**
     * Creates a new measurement without results.
     *
     * @param threadNamePrefix The prefix of the names of the server's threads.
     * @param template The requests to send and the expected response.
     * @param load Sends the requests.
     */
    MeasuredServer(
            String threadNamePrefix,
            ClosedLoopLoadGenerator.RequestTemplate template,
            ClosedLoopLoadGenerator load) {
        this.threadNamePrefix = threadNamePrefix;
        this.template = template;
        this.load = load;
    }

    /**
     * Sends requests briefly, without recording them, to see whether the server is ready.
     *
     * @return The number of complete responses.
     */
    long probe() {
        return load.run(template, 1, PROBE_MILLIS).latency().getTotalCount();
    }

    /**
     * Sends requests without recording them.
     *
     * @param inFlight The number of requests in flight on each sending event loop.
     * @param millis The duration in milliseconds.
     */
    void warmUp(int inFlight, long millis) {
        load.run(template, inFlight, millis);
    }

    /**
     * Measures throughput and CPU time.
     *
     * @param inFlight The number of requests in flight on each sending event loop.
     * @param millis The duration in milliseconds.
     */
    void measureThroughput(int inFlight, long millis) {
        long before = BenchEventLoops.threadCpuMicros(threadNamePrefix);
        ClosedLoopLoadGenerator.Result result = load.run(template, inFlight, millis);
        cpuMicros += BenchEventLoops.threadCpuMicros(threadNamePrefix) - before;
        completeResponses += result.latency().getTotalCount();
        elapsedNanos += result.elapsedNanos();
        failures += result.failures();
    }

    /**
     * Measures latency.
     *
     * @param inFlight The number of requests in flight on each sending event loop.
     * @param millis The duration in milliseconds.
     */
    void measureLatency(int inFlight, long millis) {
        ClosedLoopLoadGenerator.Result result = load.run(template, inFlight, millis);
        latencies.add(result.latency());
        failures += result.failures();
    }

    /**
     * Returns a percentile of the latencies.
     *
     * @param percentile The percentile, from 0 to 100.
     * @return The latency in microseconds.
     */
    double latencyMicros(double percentile) {
        return latencies.getValueAtPercentile(percentile)
                / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }

    /**
     * Returns the throughput.
     *
     * @return The complete responses per second.
     */
    double requestsPerSecond() {
        return completeResponses * (double) TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
    }

    /**
     * Returns the number of measured requests without a complete response.
     *
     * @return The number of requests.
     */
    long failures() {
        return failures;
    }

    /**
     * Writes the results to a report.
     *
     * @param figures The object to add the figures to.
     */
    void writeTo(ObjectNode figures) {
        figures.put("requestsPerSecond", requestsPerSecond());
        figures.put(
                "processorMicrosPerRequest", cpuMicros / (double) Math.max(1, completeResponses));
        figures.put("p50Micros", latencyMicros(MEDIAN));
        figures.put("p99Micros", latencyMicros(P99));
        figures.put("failures", failures);
    }
}
