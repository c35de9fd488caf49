package io.chicorytrestle.bench.overhead;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Gathers what is measured of one side of the comparison. */
final class MeasuredServer {

    /** The percentile of the median. */
    static final double MEDIAN = 50;

    /** The percentile of the slow requests. */
    static final double P99 = 99;

    /** The length of a probe in milliseconds. */
    private static final long PROBE_MILLIS = 50;

    /** The significant digits of a latency. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The beginning of the names of the threads that serve this side. */
    private final String threadNamePrefix;

    /** What is sent. */
    private final ClosedLoopLoadGenerator.RequestTemplate target;

    /** Sends requests. */
    private final ClosedLoopLoadGenerator load;

    /** The latencies with few requests in flight, in nanoseconds. */
    private final Histogram measureLatency = new Histogram(SIGNIFICANT_DIGITS);

    /** The whole answers with many requests in flight. */
    private long completeResponses;

    /** The time with many requests in flight, in nanoseconds. */
    private long elapsedNanos;

    /** The processor time with many requests in flight, in microseconds. */
    private long cpuMicros;

    /** The requests without a whole answer. */
    private long failures;

    /**
     * Creates a new side.
     *
     * @param threads The beginning of the names of the threads that serve this side.
     * @param target What is sent.
     * @param load Sends requests.
     */
    MeasuredServer(String threads, ClosedLoopLoadGenerator.RequestTemplate target, ClosedLoopLoadGenerator load) {
        this.threadNamePrefix = threads;
        this.target = target;
        this.load = load;
    }

    /**
     * Sends a few requests, which count for nothing.
     *
     * @return The whole answers.
     */
    long probe() {
        return load.run(target, 1, PROBE_MILLIS).latency().getTotalCount();
    }

    /**
     * Sends requests that count for nothing.
     *
     * @param inFlight The requests in flight.
     * @param millis How long, in milliseconds.
     */
    void warmUp(int inFlight, long millis) {
        load.run(target, inFlight, millis);
    }

    /**
     * Measures throughput and processor time.
     *
     * @param inFlight The requests in flight.
     * @param millis How long, in milliseconds.
     */
    void measureThroughput(int inFlight, long millis) {
        long before = BenchEventLoops.threadCpuMicros(threadNamePrefix);
        ClosedLoopLoadGenerator.Result result = load.run(target, inFlight, millis);
        cpuMicros += BenchEventLoops.threadCpuMicros(threadNamePrefix) - before;
        completeResponses += result.latency().getTotalCount();
        elapsedNanos += result.elapsedNanos();
        failures += result.failures();
    }

    /**
     * Measures latency.
     *
     * @param inFlight The requests in flight.
     * @param millis How long, in milliseconds.
     */
    void measureLatency(int inFlight, long millis) {
        ClosedLoopLoadGenerator.Result result = load.run(target, inFlight, millis);
        measureLatency.add(result.latency());
        failures += result.failures();
    }

    /**
     * Returns a latency.
     *
     * @param percentile The percentile.
     * @return The latency in microseconds.
     */
    double latencyMicros(double percentile) {
        return measureLatency.getValueAtPercentile(percentile) / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }

    /**
     * Returns the whole answers a second.
     *
     * @return The whole answers a second.
     */
    double requestsPerSecond() {
        return completeResponses * (double) TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
    }

    /**
     * Returns the requests without a whole answer.
     *
     * @return The requests without a whole answer.
     */
    long failures() {
        return failures;
    }

    /**
     * Adds the figures of this side.
     *
     * @param figures Receives the figures.
     */
    void writeTo(ObjectNode figures) {
        figures.put("requestsPerSecond", requestsPerSecond());
        figures.put("processorMicrosPerRequest", cpuMicros / (double) Math.max(1, completeResponses));
        figures.put("p50Micros", latencyMicros(MEDIAN));
        figures.put("p99Micros", latencyMicros(P99));
        figures.put("failures", failures);
    }
}
