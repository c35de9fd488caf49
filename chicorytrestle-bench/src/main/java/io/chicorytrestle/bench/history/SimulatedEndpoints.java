package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.FrameListener;
import io.chicorytrestle.core.endpoint.GenerateRequest;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Simulates the endpoints of a history and counts what they execute. */
public final class SimulatedEndpoints {

    /** The name of the pool of services. */
    static final String SERVICE_POOL = "booking";

    /** The prefix of prompts that crash every engine that runs them. */
    static final String POISON_PREFIX = "poison-";

    /** The time from the crash of an engine by a prompt to its restart, in milliseconds. */
    private static final long CRASH_DOWN_MILLIS = 1_500;

    /** The name of the pool of engines. */
    static final String ENGINE_POOL = "drafting";

    /**
     * How long a leaving endpoint still accepts new work, in milliseconds. Work that arrives later
     * counts as a violation.
     */
    private static final long LEAVING_GRACE_MILLIS = 5_000;

    /** The time from the start of an endpoint's departure to its stop, in milliseconds. */
    private static final long LEAVING_DURATION_MILLIS = 15_000;

    /** The number of requests that an endpoint advertises to run concurrently. */
    private static final int CAPACITY_REQUESTS = 32;

    /** The simulation that the endpoints belong to. */
    private final HistorySimulation simulation;

    /** All endpoints, running or not. Faults select one by its index. */
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();

    /** The number of executions by services, by request body. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The identifiers of the requests that some engine has started. */
    private final Set<String> startedRequests = new HashSet<>();

    /** The number of engine crashes caused by each prompt. */
    private final Map<String, Integer> crashesByPrompt = new HashMap<>();

    /** The number of requests refused because their prompt is quarantined, by prompt. */
    private final Map<String, Integer> quarantineRefusals = new HashMap<>();

    /** The virtual time until which connections to services may break, in milliseconds. */
    private long dropResponsesUntilMillis;

    /** The virtual time until which frames of engines are disturbed, in milliseconds. */
    private long disturbFramesUntilMillis;

    /**
     * Creates one engine and one service in each availability zone.
     *
     * @param simulation The simulation that the endpoints belong to.
     * @param zones The names of the availability zones.
     */
    SimulatedEndpoints(HistorySimulation simulation, List<String> zones) {
        this.simulation = simulation;
        for (String zone : zones) {
            endpoints.add(createEndpoint("engine-" + zone, EndpointKind.ENGINE, ENGINE_POOL, zone));
            endpoints.add(
                    createEndpoint("service-" + zone, EndpointKind.SERVICE, SERVICE_POOL, zone));
        }
    }

    /**
     * Creates a running endpoint of the first incarnation.
     *
     * @param name The name of the endpoint.
     * @param kind Whether it is an engine or a service.
     * @param pool The name of its pool.
     * @param zone The name of its availability zone.
     * @return The endpoint.
     */
    private SimulatedEndpoint createEndpoint(
            String name, EndpointKind kind, String pool, String zone) {
        return new SimulatedEndpoint(
                new Endpoint(
                        new EndpointIdentity(name, 1),
                        kind,
                        pool,
                        zone,
                        "127.0.0.1",
                        1,
                        CAPACITY_REQUESTS));
    }

    /**
     * Returns the endpoints as the platform lists them. Endpoints that are down are left out.
     *
     * @return The running endpoints with their states.
     */
    List<EndpointMember> listedEndpoints() {
        return endpoints.stream()
                .filter(endpoint -> endpoint.alive)
                .map(
                        endpoint ->
                                new EndpointMember(
                                        endpoint.description,
                                        endpoint.leaving
                                                        && !simulation.hasMutation(
                                                                Mutation.LEAVING_IGNORED)
                                                ? EndpointState.LEAVING
                                                : EndpointState.LIVE))
                .toList();
    }

    /**
     * Returns the client through which an entry instance reaches services.
     *
     * @param instance The entry instance.
     * @return The client.
     */
    ServiceClient serviceClient(SimulatedInstance instance) {
        return (service, request, mayWrite) ->
                new ServiceExchange(simulation, instance, this, find(service), request, mayWrite)
                        .begin();
    }

    /**
     * Returns the client through which an entry instance reaches engines.
     *
     * @param instance The entry instance.
     * @return The client.
     */
    EngineClient engineClient(SimulatedInstance instance) {
        return new EngineClient() {
            @Override
            public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
                new EngineStream(
                                simulation,
                                instance,
                                SimulatedEndpoints.this,
                                find(engine),
                                listener)
                        .generate(request);
            }

            @Override
            public void resume(
                    Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
                new EngineStream(
                                simulation,
                                instance,
                                SimulatedEndpoints.this,
                                find(engine),
                                listener)
                        .resume(requestId, (int) fromSequence);
            }

            @Override
            public void cancel(Endpoint engine, String requestId) {
                simulation.scheduler().scheduleAfter(1, () -> find(engine).runs.remove(requestId));
            }
        };
    }

    /**
     * Crashes an endpoint and schedules its restart. Requests that an engine holds are lost.
     *
     * @param target The index of the endpoint, modulo the number of endpoints.
     * @param downMillis The time until the restart in milliseconds.
     */
    void crash(int target, long downMillis) {
        SimulatedEndpoint endpoint = endpoints.get(target % endpoints.size());
        endpoint.stop();
        simulation.publishMembership();
        simulation.scheduler().scheduleAfter(downMillis, () -> restart(endpoint));
    }

    /**
     * Crashes an engine that runs a poison prompt, unless it is already down, and counts the crash.
     *
     * @param endpoint The engine.
     * @param prompt The complete prompt.
     */
    void crashByPrompt(SimulatedEndpoint endpoint, String prompt) {
        if (endpoint.alive) {
            crashesByPrompt.merge(prompt, 1, Integer::sum);
            crash(endpoints.indexOf(endpoint), CRASH_DOWN_MILLIS);
        }
    }

    /**
     * Counts a refusal because of a quarantined prompt, that is, one that the fleet suspects of
     * crashing engines.
     *
     * @param prompt The complete prompt.
     */
    void recordQuarantineRefusal(String prompt) {
        quarantineRefusals.merge(prompt, 1, Integer::sum);
    }

    /**
     * Returns the number of engine crashes that each poison prompt caused.
     *
     * @return A copy of the counts by prompt; prompts without a crash are missing.
     */
    public Map<String, Integer> crashesByPrompt() {
        return Map.copyOf(crashesByPrompt);
    }

    /**
     * Returns the number of quarantine refusals of poison prompts, or of harmless ones.
     *
     * @param poison {@code true} to count prompts that crash engines, {@code false} to count the
     *     others.
     * @return The number of refusals.
     */
    public int quarantineRefusals(boolean poison) {
        return quarantineRefusals.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(POISON_PREFIX) == poison)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Starts the departure of an endpoint and schedules its stop and restart. Does nothing if the
     * endpoint is down or already leaving.
     *
     * @param target The index of the endpoint, modulo the number of endpoints.
     * @param downMillis The time until the restart in milliseconds.
     */
    void leave(int target, long downMillis) {
        SimulatedEndpoint endpoint = endpoints.get(target % endpoints.size());
        if (!endpoint.alive || endpoint.leaving) {
            return;
        }
        endpoint.leaving = true;
        endpoint.leavingSinceMillis = simulation.scheduler().nowMillis();
        simulation.publishMembership();
        long incarnation = endpoint.description.identity().incarnation();
        simulation
                .scheduler()
                .scheduleAfter(
                        LEAVING_DURATION_MILLIS,
                        () -> {
                            if (endpoint.description.identity().incarnation() == incarnation) {
                                endpoint.stop();
                                simulation.publishMembership();
                                simulation
                                        .scheduler()
                                        .scheduleAfter(downMillis, () -> restart(endpoint));
                            }
                        });
    }

    /**
     * Restarts an endpoint unless it is already running.
     *
     * @param endpoint The endpoint.
     */
    private void restart(SimulatedEndpoint endpoint) {
        if (!endpoint.alive) {
            endpoint.start();
            simulation.publishMembership();
        }
    }

    /**
     * Lets connections to services break at random, before or after execution.
     *
     * @param durationMillis The duration of the fault in milliseconds.
     */
    void dropResponses(long durationMillis) {
        dropResponsesUntilMillis = simulation.scheduler().nowMillis() + durationMillis;
    }

    /**
     * Lets frames of engines be lost, delayed, duplicated or replaced.
     *
     * @param durationMillis The duration of the fault in milliseconds.
     */
    void disturbFrames(long durationMillis) {
        disturbFramesUntilMillis = simulation.scheduler().nowMillis() + durationMillis;
    }

    /**
     * Decides at random whether a connection to a service breaks now. Each call draws a new random
     * number while the fault lasts.
     *
     * @return {@code true} if the connection breaks.
     */
    boolean sampleConnectionBreak() {
        return simulation.scheduler().nowMillis() < dropResponsesUntilMillis
                && simulation.random().nextBoolean();
    }

    /**
     * Returns whether the frames of engines are currently disturbed.
     *
     * @return {@code true} while the fault lasts.
     */
    boolean isDisturbingFrames() {
        return simulation.scheduler().nowMillis() < disturbFramesUntilMillis;
    }

    /**
     * Records a violation if new work is sent to an endpoint that has been leaving for too long.
     *
     * @param endpoint The endpoint.
     */
    void checkWorkAllowed(SimulatedEndpoint endpoint) {
        if (refusesWork(endpoint)) {
            simulation.recordViolation(
                    Violation.Guarantee.NO_WORK_AFTER_LEAVING,
                    endpoint.description.name() + " left at " + endpoint.leavingSinceMillis);
        }
    }

    /**
     * Returns whether an endpoint has been leaving for longer than {@link #LEAVING_GRACE_MILLIS}.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if the endpoint refuses new work.
     */
    boolean refusesWork(SimulatedEndpoint endpoint) {
        return endpoint.leaving
                && simulation.scheduler().nowMillis() - endpoint.leavingSinceMillis
                        > LEAVING_GRACE_MILLIS;
    }

    /**
     * Counts an execution by a service.
     *
     * @param body The request body.
     */
    void recordExecution(String body) {
        executions.merge(body, 1, Integer::sum);
    }

    /**
     * Returns how often services executed a request.
     *
     * @param body The request body.
     * @return The number of executions, over all services.
     */
    int executions(String body) {
        return executions.getOrDefault(body, 0);
    }

    /**
     * Records that an engine started a request.
     *
     * @param requestId The identifier of the request.
     */
    void recordRequestStarted(String requestId) {
        startedRequests.add(requestId);
    }

    /**
     * Returns whether any engine has started a request.
     *
     * @param requestId The identifier of the request.
     * @return {@code true} if an engine started the request, whether or not it completed it.
     */
    boolean hasStartedRequest(String requestId) {
        return startedRequests.contains(requestId);
    }

    /**
     * Finds the simulated endpoint by the name in a description. The incarnation is not compared.
     *
     * @param description The description that an entry instance holds, which may be outdated.
     * @return The endpoint.
     */
    private SimulatedEndpoint find(Endpoint description) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.description.name().equals(description.name()))
                .findFirst()
                .orElseThrow();
    }

    /** Holds the state of one endpoint over all of its incarnations. */
    static final class SimulatedEndpoint {

        /** The description of the current or most recent incarnation. */
        private Endpoint description;

        /** Whether the endpoint is running. */
        private boolean alive = true;

        /** Whether the endpoint is leaving; reset by a restart. */
        private boolean leaving;

        /**
         * The virtual time at which the departure started, in milliseconds; valid while leaving.
         */
        private long leavingSinceMillis;

        /** The requests that an engine holds with their frames so far, by request identifier. */
        private final Map<String, EngineRun> runs = new HashMap<>();

        /**
         * Creates a running endpoint.
         *
         * @param description The description of its first incarnation.
         */
        private SimulatedEndpoint(Endpoint description) {
            this.description = description;
        }

        /** Stops the endpoint immediately and breaks the streams of all requests that it holds. */
        private void stop() {
            alive = false;
            List<EngineRun> lost = List.copyOf(runs.values());
            runs.clear();
            lost.forEach(EngineRun::breakStreams);
        }

        /** Starts the endpoint with a new incarnation. */
        private void start() {
            alive = true;
            leaving = false;
            description =
                    new Endpoint(
                            new EndpointIdentity(
                                    description.name(), description.identity().incarnation() + 1),
                            description.kind(),
                            description.pool(),
                            description.zone(),
                            description.host(),
                            description.port(),
                            description.capacity());
        }

        /**
         * Returns the running incarnation.
         *
         * @return The incarnation, or {@code -1} if the endpoint is down.
         */
        long incarnation() {
            return alive ? description.identity().incarnation() : -1;
        }

        /**
         * Returns the availability zone, which all incarnations share.
         *
         * @return The name of the zone.
         */
        String zone() {
            return description.zone();
        }

        /**
         * Returns the requests that an engine holds, for callers to read and modify.
         *
         * @return The modifiable map of requests by identifier.
         */
        Map<String, EngineRun> runs() {
            return runs;
        }
    }
}
