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
 * Compares the daemon with a plain forwarder in front of the same engine, in alternating rounds of
 * one run.
 */
public final class OverheadExperiment implements Experiment {

    /** The number of event loops that serve callers, in the daemon and in the forwarder. */
    private static final int THREADS = 2;

    /** The number of rounds if the options don't specify it. */
    private static final int DEFAULT_ROUNDS = 5;

    /** The duration of each measurement of a round in milliseconds. */
    private static final long ROUND_MILLIS = 2_000;

    /** The duration of the warm-up of each server in milliseconds. */
    private static final long WARM_UP_MILLIS = 4_000;

    /** The requests in flight on each sending event loop when throughput is measured. */
    private static final int THROUGHPUT_CONCURRENCY = 32;

    /** The requests in flight on each sending event loop when latency is measured. */
    private static final int LATENCY_CONCURRENCY = 1;

    /** The maximum time until the daemon is ready, in milliseconds. */
    private static final long READY_TIMEOUT_MILLIS = 20_000;

    /** The number of chats that the requests cycle through. */
    private static final int CHATS = 500;

    /** The number of words of the prompt. */
    private static final int PROMPT_WORDS = 120;

    /** The maximum number of tokens of a response. */
    private static final int MAXIMUM_TOKENS = 40;

    /** The profile of an engine that takes no time, so that only the overhead is measured. */
    private static final EngineProfile INSTANT_PROFILE =
            new EngineProfile(10_000, 1_000_000_000, 1_000_000_000, 10_000_000, 10_000);

    /** The lowest acceptable ratio of the daemon's throughput to the forwarder's. */
    private static final double MINIMUM_THROUGHPUT_RATIO = 0.7;

    /** The memory that the daemon must use less than, in megabytes. */
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
            MeasuredServer forwarderServer =
                    new MeasuredServer(
                            PlainForwarder.THREAD_NAME_PREFIX,
                            forwarderRequests(forwarder.port(), prompt),
                            load);
            MeasuredServer daemonServer =
                    new MeasuredServer(
                            DaemonUnderTest.THREAD_NAME_PREFIX,
                            daemonRequests(daemon.callerPort(), prompt),
                            load);
            awaitReady(daemonServer);
            int rounds = options.runs() == 0 ? DEFAULT_ROUNDS : options.runs();
            measure(forwarderServer, daemonServer, rounds);
            double withDaemon = MemoryProbe.usedMegabytes();
            daemon.close();
            daemon = null;
            double withoutDaemon = MemoryProbe.usedMegabytes();
            return report(forwarderServer, daemonServer, rounds, withDaemon - withoutDaemon);
        }
    }

    /**
     * Waits until the daemon completes a request.
     *
     * @param daemonServer The daemon's measurements.
     * @throws IOException If the daemon is not ready in time.
     */
    private static void awaitReady(MeasuredServer daemonServer) throws IOException {
        long startNanos = System.nanoTime();
        while (daemonServer.probe() == 0) {
            if (System.nanoTime() - startNanos
                    > TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS)) {
                throw new IOException(
                        "Daemon not ready after milliseconds: " + READY_TIMEOUT_MILLIS);
            }
        }
    }

    /**
     * Measures both servers in alternation.
     *
     * @param forwarderServer The plain forwarder's measurements.
     * @param daemonServer The daemon's measurements.
     * @param rounds The number of rounds.
     */
    private static void measure(
            MeasuredServer forwarderServer, MeasuredServer daemonServer, int rounds) {
        forwarderServer.warmUp(THROUGHPUT_CONCURRENCY, WARM_UP_MILLIS);
        daemonServer.warmUp(THROUGHPUT_CONCURRENCY, WARM_UP_MILLIS);
        for (int round = 0; round < rounds; round++) {
            forwarderServer.measureThroughput(THROUGHPUT_CONCURRENCY, ROUND_MILLIS);
            daemonServer.measureThroughput(THROUGHPUT_CONCURRENCY, ROUND_MILLIS);
            forwarderServer.measureLatency(LATENCY_CONCURRENCY, ROUND_MILLIS);
            daemonServer.measureLatency(LATENCY_CONCURRENCY, ROUND_MILLIS);
        }
    }

    /**
     * Writes the report and compares the figures with the aims.
     *
     * @param forwarderServer The plain forwarder's measurements.
     * @param daemonServer The daemon's measurements.
     * @param rounds The number of rounds.
     * @param megabytes The memory that the daemon used, in megabytes.
     * @return The figures and whether the aims were met.
     */
    private static Report report(
            MeasuredServer forwarderServer,
            MeasuredServer daemonServer,
            int rounds,
            double megabytes) {
        double ratio = daemonServer.requestsPerSecond() / forwarderServer.requestsPerSecond();
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("rounds", rounds);
        figures.put(
                "addedP50Micros",
                daemonServer.latencyMicros(MeasuredServer.MEDIAN)
                        - forwarderServer.latencyMicros(MeasuredServer.MEDIAN));
        figures.put(
                "addedP99Micros",
                daemonServer.latencyMicros(MeasuredServer.P99)
                        - forwarderServer.latencyMicros(MeasuredServer.P99));
        figures.put("throughputRatioToPlainForward", ratio);
        figures.put("residentMegabytes", megabytes);
        forwarderServer.writeTo(figures.putObject("plain"));
        daemonServer.writeTo(figures.putObject("daemon"));
        boolean aimsMet =
                ratio >= MINIMUM_THROUGHPUT_RATIO
                        && megabytes < MAXIMUM_MEGABYTES
                        && forwarderServer.failures() == 0
                        && daemonServer.failures() == 0;
        return new Report(figures, aimsMet);
    }

    /**
     * Creates the requests to the plain forwarder.
     *
     * @param port The forwarder's port.
     * @param prompt The prompt.
     * @return The requests and the expected response.
     */
    private static ClosedLoopLoadGenerator.RequestTemplate forwarderRequests(
            int port, String prompt) {
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
     * Creates the requests to the daemon.
     *
     * @param port The daemon's port.
     * @param prompt The prompt.
     * @return The requests and the expected response.
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
     * Generates a prompt of random words.
     *
     * @param random The random source.
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
