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

/** Keeps a number of requests in flight, each sent as soon as the one before is answered. */
final class ClosedLoopLoadGenerator implements AutoCloseable {

    /** The event loops that send requests. */
    private static final int LOOPS = 2;

    /** The significant digits of a latency. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The event loops. */
    private final BenchEventLoops loops = new BenchEventLoops("load", LOOPS);

    /** The clients, one for each event loop. */
    private final List<HttpClient> clients = new ArrayList<>();

    /** Creates a new load. */
    ClosedLoopLoadGenerator() {
        for (Eventloop loop : loops.all()) {
            clients.add(BenchEventLoops.callOn(loop, () -> HttpClients.create(loop)));
        }
    }

    /**
     * Sends requests for a while.
     *
     * @param target What to send and what to expect.
     * @param inFlight The requests in flight on each event loop.
     * @param millis How long to send, in milliseconds.
     * @return What was seen.
     */
    Result run(RequestTemplate target, int inFlight, long millis) {
        long begin = System.nanoTime();
        long end = begin + TimeUnit.MILLISECONDS.toNanos(millis);
        List<CompletableFuture<Sender>> senders = new ArrayList<>();
        for (int index = 0; index < LOOPS; index++) {
            Sender sender = new Sender(clients.get(index), target, index, end);
            senders.add(loops.all().get(index).submit(() -> sender.start(inFlight)));
        }
        Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
        long failures = 0;
        for (CompletableFuture<Sender> future : senders) {
            Sender sender = future.join();
            latency.add(sender.latency);
            failures += sender.failures;
        }
        return new Result(latency, failures, System.nanoTime() - begin);
    }

    @Override
    public void close() {
        loops.close();
    }

    /**
     * Describes what is sent and what is expected.
     *
     * @param request Makes a request from its number.
     * @param expectedSuffix The text that ends a whole answer.
     */
    record RequestTemplate(LongFunction<HttpRequest> request, String expectedSuffix) {}

    /**
     * Holds what was seen.
     *
     * @param latency The time from a request to the end of its answer, in nanoseconds.
     * @param failures The requests without a whole answer.
     * @param elapsedNanos The time of the run in nanoseconds.
     */
    record Result(Histogram latency, long failures, long elapsedNanos) {

        /**
         * Returns the whole answers a second.
         *
         * @return The whole answers a second.
         */
        double requestsPerSecond() {
            return latency.getTotalCount() * (double) TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
        }
    }

    /** Sends the requests of one event loop. */
    private static final class Sender {

        /** The client. */
        private final HttpClient client;

        /** What is sent. */
        private final RequestTemplate target;

        /** When to stop. */
        private final long endNanos;

        /** The time from a request to the end of its answer, in nanoseconds. */
        private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);

        /** The number of the next request; those of different event loops differ. */
        private long nextNumber;

        /** The requests without a whole answer. */
        private long failures;

        /**
         * Creates a new sender.
         *
         * @param client The client.
         * @param target What is sent.
         * @param first The number of the first request.
         * @param endNanos When to stop.
         */
        private Sender(HttpClient client, RequestTemplate target, long first, long endNanos) {
            this.client = client;
            this.target = target;
            this.endNanos = endNanos;
            nextNumber = first;
        }

        /**
         * Starts to send.
         *
         * @param inFlight The requests in flight.
         * @return This sender, once all are answered.
         */
        private Promise<Sender> start(int inFlight) {
            List<Promise<Void>> lines = new ArrayList<>();
            for (int index = 0; index < inFlight; index++) {
                lines.add(sendUntilEnd());
            }
            return Promises.all(lines).map(ignored -> this);
        }

        /**
         * Sends one request after the other.
         *
         * @return Completes after the last.
         */
        private Promise<Void> sendUntilEnd() {
            return Promises.repeat(() -> System.nanoTime() >= endNanos ? Promise.of(false) : sendOne());
        }

        /**
         * Sends one request.
         *
         * @return Completes with its answer, whole or not.
         */
        private Promise<Boolean> sendOne() {
            long begin = System.nanoTime();
            HttpRequest request = target.request.apply(nextNumber);
            nextNumber += LOOPS;
            return client.request(request)
                    .then((HttpResponse response) -> response.loadBody())
                    .map(body -> body.getString(StandardCharsets.UTF_8).endsWith(target.expectedSuffix))
                    .map(
                            (whole, failure) -> {
                                if (failure != null || !whole) {
                                    failures++;
                                } else {
                                    latency.recordValue(System.nanoTime() - begin);
                                }
                                return true;
                            });
        }
    }
}
