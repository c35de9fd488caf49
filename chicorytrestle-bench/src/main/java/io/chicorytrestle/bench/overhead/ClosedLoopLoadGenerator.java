package io.chicorytrestle.bench.overhead;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.HdrHistogram.Histogram;

/** Keeps a fixed number of requests in flight by sending one whenever a response completes. */
final class ClosedLoopLoadGenerator implements AutoCloseable {

    /** The number of event loops that send requests. */
    private static final int LOOPS = 2;

    /** The number of significant digits of latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The event loops that send requests. */
    private final BenchEventLoops loops = new BenchEventLoops("load", LOOPS);

    /** The client of each event loop, in the same order. */
    private final List<HttpClient> clients = new ArrayList<>();

    /** Starts the event loops. */
    ClosedLoopLoadGenerator() {
        for (Eventloop loop : loops.all()) {
            clients.add(BenchEventLoops.callOn(loop, () -> HttpClients.create(loop)));
        }
    }

    /**
     * Sends requests for a period of time.
     *
     * @param template The requests to send and the expected response.
     * @param inFlight The number of requests in flight on each event loop.
     * @param millis The duration in milliseconds.
     * @return The latencies and failures.
     */
    Result run(RequestTemplate template, int inFlight, long millis) {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        List<CompletableFuture<Sender>> senders = new ArrayList<>();
        for (int index = 0; index < LOOPS; index++) {
            Sender sender = new Sender(clients.get(index), template, index, endNanos);
            senders.add(loops.all().get(index).submit(() -> sender.start(inFlight)));
        }
        Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
        long failures = 0;
        for (CompletableFuture<Sender> future : senders) {
            Sender sender = future.join();
            latency.add(sender.latency);
            failures += sender.failures;
        }
        return new Result(latency, failures, System.nanoTime() - startNanos);
    }

    @Override
    public void close() {
        loops.close();
    }

    /**
     * Describes the requests to send and the expected response.
     *
     * @param request Creates a request from its number.
     * @param expectedSuffix The suffix by which a complete response is recognised.
     */
    record RequestTemplate(LongFunction<HttpRequest> request, String expectedSuffix) {}

    /**
     * The measurements of a run.
     *
     * @param latency The time from sending a request to the end of its response, in nanoseconds.
     * @param failures The number of requests without a complete response.
     * @param elapsedNanos The duration of the run in nanoseconds.
     */
    record Result(Histogram latency, long failures, long elapsedNanos) {

        /**
         * Returns the throughput.
         *
         * @return The complete responses per second.
         */
        double requestsPerSecond() {
            return latency.getTotalCount() * (double) TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
        }
    }

    /** Sends the requests of one event loop; confined to its thread. */
    private static final class Sender {

        /** The client of the event loop. */
        private final HttpClient client;

        /** The requests to send and the expected response. */
        private final RequestTemplate template;

        /** The time after which no request is sent, by the system's nanosecond clock. */
        private final long endNanos;

        /** The time from sending a request to the end of its response, in nanoseconds. */
        private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);

        /** The number of the next request, which is unique across event loops. */
        private long nextNumber;

        /** The number of requests without a complete response. */
        private long failures;

        /**
         * Creates a new sender.
         *
         * @param client The client of the event loop.
         * @param template The requests to send and the expected response.
         * @param first The number of the first request.
         * @param endNanos The time after which no request is sent, by the system's nanosecond
         *     clock.
         */
        private Sender(HttpClient client, RequestTemplate template, long first, long endNanos) {
            this.client = client;
            this.template = template;
            this.endNanos = endNanos;
            nextNumber = first;
        }

        /**
         * Starts to send requests.
         *
         * @param inFlight The number of requests in flight.
         * @return Completes with this sender when the last response has ended.
         */
        private Promise<Sender> start(int inFlight) {
            List<Promise<Void>> senders = new ArrayList<>();
            for (int index = 0; index < inFlight; index++) {
                senders.add(sendUntilEnd());
            }
            return Promises.all(senders).map(ignored -> this);
        }

        /**
         * Sends one request after the other until the end time.
         *
         * @return Completes when the last response has ended.
         */
        private Promise<Void> sendUntilEnd() {
            return Promises.repeat(
                    () -> System.nanoTime() >= endNanos ? Promise.of(false) : sendOne());
        }

        /**
         * Sends one request and records its latency or failure.
         *
         * @return Completes with {@code true} when the response has ended, complete or not.
         */
        private Promise<Boolean> sendOne() {
            long startNanos = System.nanoTime();
            HttpRequest request = template.request.apply(nextNumber);
            nextNumber += LOOPS;
            return client.request(request)
                    .then((HttpResponse response) -> response.loadBody())
                    .map(
                            body ->
                                    body.getString(StandardCharsets.UTF_8)
                                            .endsWith(template.expectedSuffix))
                    .map(
                            (complete, failure) -> {
                                if (failure != null || !complete) {
                                    failures++;
                                } else {
                                    latency.recordValue(System.nanoTime() - startNanos);
                                }
                                return true;
                            });
        }
    }
}
