package io.chicorytrestle.bench.overhead;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.daemon.DaemonNode;
import io.chicorytrestle.standin.http.Scenario;
import io.chicorytrestle.standin.http.StandInFleet;
import io.chicorytrestle.standin.model.EngineProfile;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Compares the daemon with a bare forwarder in front of the same engine, in alternating rounds of
 * one run.
 */
public final class OverheadExperiment implements Experiment {

    /** The event loops that serve callers, on either side. */
    private static final int THREADS = 2;

    /** The rounds if the options name none. */
    private static final int DEFAULT_ROUNDS = 5;

    /** The length of one round in milliseconds. */
    private static final long ROUND_MILLIS = 2_000;

    /** The length of the warm-up of each side in milliseconds. */
    private static final long WARM_UP_MILLIS = 4_000;

    /** The requests in flight on each sending event loop when throughput is measured. */
    private static final int THROUGHPUT_CONCURRENCY = 32;

    /** The requests in flight on each sending event loop when latency is measured. */
    private static final int LATENCY_CONCURRENCY = 1;

    /** The longest wait for the daemon to serve, in milliseconds. */
    private static final long READY_TIMEOUT_MILLIS = 20_000;

    /** The chats that return. */
    private static final int CHATS = 500;

    /** The words of a prompt. */
    private static final int PROMPT_WORDS = 120;

    /** The most tokens of an answer. */
    private static final int MAXIMUM_TOKENS = 40;

    /** The engine answers at once, so that what stands before it shows. */
    private static final EngineProfile INSTANT_PROFILE =
            new EngineProfile(10_000, 1_000_000_000, 1_000_000_000, 10_000_000, 10_000);

    /** The ratio of throughputs to reach. */
    private static final double MINIMUM_THROUGHPUT_RATIO = 0.7;

    /** The memory for state and control to stay under, in megabytes. */
    private static final double MAXIMUM_MEGABYTES = 128;

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public String summary() {
        return "latency, throughput and memory of the daemon against a bare forwarder";
    }

    @Override
    public Report run(ExperimentOptions options) throws Exception {
        Scenario.EndpointSpecification engine =
                new Scenario.EndpointSpecification(
                        "engine-1",
                        EndpointKind.ENGINE,
                        DaemonUnderTest.POOL,
                        "bench",
                        0,
                        INSTANT_PROFILE.batchSlots(),
                        false,
                        INSTANT_PROFILE);
        try (StandInFleet fleet = StandInFleet.start(DaemonUnderTest.scenario(engine));
                PlainForwarder forwarder =
                        new PlainForwarder(
                                THREADS, fleet.endpointUri("engine-1") + "/v1/generate");
                ClosedLoopLoadGenerator load = new ClosedLoopLoadGenerator()) {
            DaemonNode daemon = DaemonUnderTest.start(fleet, THREADS);
            String prompt = randomPrompt(new Random(options.seed()));
            MeasuredServer plain =
                    new MeasuredServer(PlainForwarder.THREAD_NAME_PREFIX, forwarderRequests(forwarder.port(), prompt), load);
            MeasuredServer full =
                    new MeasuredServer(
                            DaemonUnderTest.THREAD_NAME_PREFIX,
                            daemonRequests(daemon.callerPort(), prompt),
                            load);
            awaitReady(full);
            int rounds = options.runs() == 0 ? DEFAULT_ROUNDS : options.runs();
            measure(plain, full, rounds);
            double with = MemoryProbe.usedMegabytes();
            daemon.close();
            daemon = null;
            double without = MemoryProbe.usedMegabytes();
            return report(plain, full, rounds, with - without);
        }
    }

    /**
     * Waits until the daemon answers.
     *
     * @param side The daemon.
     * @throws IOException If it does not in time.
     */
    private static void awaitReady(MeasuredServer side) throws IOException {
        long begin = System.nanoTime();
        while (side.probe() == 0) {
            if (System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS)) {
                throw new IOException("Cannot get an answer in milliseconds: " + READY_TIMEOUT_MILLIS);
            }
        }
    }

    /**
     * Measures both sides in turn.
     *
     * @param plain The bare forwarder.
     * @param full The daemon.
     * @param rounds The rounds.
     */
    private static void measure(MeasuredServer plain, MeasuredServer full, int rounds) {
        plain.warmUp(THROUGHPUT_CONCURRENCY, WARM_UP_MILLIS);
        full.warmUp(THROUGHPUT_CONCURRENCY, WARM_UP_MILLIS);
        for (int round = 0; round < rounds; round++) {
            plain.measureThroughput(THROUGHPUT_CONCURRENCY, ROUND_MILLIS);
            full.measureThroughput(THROUGHPUT_CONCURRENCY, ROUND_MILLIS);
            plain.measureLatency(LATENCY_CONCURRENCY, ROUND_MILLIS);
            full.measureLatency(LATENCY_CONCURRENCY, ROUND_MILLIS);
        }
    }

    /**
     * Reports the figures.
     *
     * @param plain The bare forwarder.
     * @param full The daemon.
     * @param rounds The rounds.
     * @param megabytes The memory that the daemon held.
     * @return The figures and whether the aims were met.
     */
    private static Report report(MeasuredServer plain, MeasuredServer full, int rounds, double megabytes) {
        double ratio = full.requestsPerSecond() / plain.requestsPerSecond();
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("rounds", rounds);
        figures.put("addedP50Micros", full.latencyMicros(MeasuredServer.MEDIAN) - plain.latencyMicros(MeasuredServer.MEDIAN));
        figures.put("addedP99Micros", full.latencyMicros(MeasuredServer.P99) - plain.latencyMicros(MeasuredServer.P99));
        figures.put("throughputRatioToPlainForward", ratio);
        figures.put("residentMegabytes", megabytes);
        plain.writeTo(figures.putObject("plain"));
        full.writeTo(figures.putObject("daemon"));
        boolean met =
                ratio >= MINIMUM_THROUGHPUT_RATIO
                        && megabytes < MAXIMUM_MEGABYTES
                        && plain.failures() == 0
                        && full.failures() == 0;
        return new Report(figures, met);
    }

    /**
     * Describes the requests to the bare forwarder.
     *
     * @param port The forwarder's port.
     * @param prompt The prompt.
     * @return What is sent and what is expected.
     */
    private static ClosedLoopLoadGenerator.RequestTemplate forwarderRequests(int port, String prompt) {
        ObjectMapper mapper = new ObjectMapper();
        String uri = "http://%s:%d/v1/generate".formatted(HttpClients.HOST, port);
        return new ClosedLoopLoadGenerator.RequestTemplate(
                number -> {
                    ObjectNode body = mapper.createObjectNode();
                    body.put("requestId", "plain-" + number)
                            .put("workspace", DaemonUnderTest.WORKSPACE)
                            .put("chat", "chat-" + number % CHATS)
                            .put("model", "m")
                            .put("prompt", prompt)
                            .put("maximumTokens", MAXIMUM_TOKENS)
                            .put("priority", 0);
                    return HttpRequest.post(uri).withBody(body.toString()).build();
                },
                "}}\n");
    }

    /**
     * Describes the requests to the daemon.
     *
     * @param port The daemon's port.
     * @param prompt The prompt.
     * @return What is sent and what is expected.
     */
    private static ClosedLoopLoadGenerator.RequestTemplate daemonRequests(int port, String prompt) {
        ObjectMapper mapper = new ObjectMapper();
        String uri = "http://%s:%d/v1/chat/completions".formatted(HttpClients.HOST, port);
        String authorization = DaemonUnderTest.authorization();
        return new ClosedLoopLoadGenerator.RequestTemplate(
                number -> {
                    ObjectNode body = mapper.createObjectNode();
                    body.put("model", DaemonUnderTest.POOL)
                            .put("stream", true)
                            .put("max_tokens", MAXIMUM_TOKENS)
                            .put("user", "chat-" + number % CHATS);
                    body.putArray("messages")
                            .addObject()
                            .put("role", "user")
                            .put("content", prompt);
                    return HttpRequest.post(uri)
                            .withHeader(HttpHeaders.AUTHORIZATION, authorization)
                            .withBody(body.toString())
                            .build();
                },
                "data: [DONE]\n\n");
    }

    /**
     * Makes up a prompt.
     *
     * @param random Makes the choices.
     * @return The prompt.
     */
    private static String randomPrompt(Random random) {
        StringBuilder prompt = new StringBuilder();
        for (int index = 0; index < PROMPT_WORDS; index++) {
            prompt.append(Integer.toString(random.nextInt(), Character.MAX_RADIX)).append(' ');
        }
        return prompt.toString();
    }
}
