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

/** Fakes the endpoints of a history and counts what they execute. */
public final class SimulatedEndpoints {

    /** The pool of plain services. */
    static final String SERVICE_POOL = "booking";

    /** Begins the prompts that crash each engine that runs them. */
    static final String POISON_PREFIX = "poison-";

    /** How long an engine is down after a prompt crashed it, in milliseconds. */
    private static final long CRASH_DOWN_MILLIS = 1_500;

    /** The pool of engines. */
    static final String ENGINE_POOL = "drafting";

    /** How long after an endpoint began to leave new work may still reach it, in milliseconds. */
    private static final long LEAVING_GRACE_MILLIS = 5_000;

    /** The time from the begin of leaving to the end of an endpoint in milliseconds. */
    private static final long LEAVING_DURATION_MILLIS = 15_000;

    /** The requests that an endpoint can run at the same time. */
    private static final int CAPACITY_REQUESTS = 32;

    /** The world. */
    private final HistorySimulation simulation;

    /** The endpoints. */
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();

    /** The executions of plain services by body. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The identifiers of the requests that engines began. */
    private final Set<String> startedRequests = new HashSet<>();

    /** The crashes of engines by prompt. */
    private final Map<String, Integer> crashesByPrompt = new HashMap<>();

    /** The refusals by prompt, for crashes that the prompt is held to have caused. */
    private final Map<String, Integer> quarantineRefusals = new HashMap<>();

    /** The time until which answers are dropped, in milliseconds. */
    private long dropResponsesUntilMillis;

    /** The time until which frames are disturbed, in milliseconds. */
    private long disturbFramesUntilMillis;

    /**
     * Creates a new farm with one engine and one plain service in each availability zone.
     *
     * @param world The world.
     * @param zones The availability zones.
     */
    SimulatedEndpoints(HistorySimulation world, List<String> zones) {
        this.simulation = world;
        for (String zone : zones) {
            endpoints.add(createEndpoint("engine-" + zone, EndpointKind.ENGINE, ENGINE_POOL, zone));
            endpoints.add(
                    createEndpoint("service-" + zone, EndpointKind.SERVICE, SERVICE_POOL, zone));
        }
    }

    /**
     * Creates an endpoint.
     *
     * @param name The name.
     * @param kind The kind.
     * @param pool The pool.
     * @param zone The availability zone.
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
     * Returns what the platform knows of the endpoints.
     *
     * @return The endpoints that run.
     */
    List<EndpointMember> listedEndpoints() {
        return endpoints.stream()
                .filter(member -> member.alive)
                .map(
                        member ->
                                new EndpointMember(
                                        member.description,
                                        member.leaving
                                                        && !simulation.hasMutation(
                                                                Mutation.LEAVING_IGNORED)
                                                ? EndpointState.LEAVING
                                                : EndpointState.LIVE))
                .toList();
    }

    /**
     * Returns the client by which an entry instance reaches plain services.
     *
     * @param node The entry instance.
     * @return The client.
     */
    ServiceClient serviceClient(SimulatedInstance node) {
        return (service, request, mayWrite) ->
                new ServiceExchange(simulation, node, this, find(service), request, mayWrite)
                        .begin();
    }

    /**
     * Returns the client by which an entry instance reaches engines.
     *
     * @param node The entry instance.
     * @return The client.
     */
    EngineClient engineClient(SimulatedInstance node) {
        return new EngineClient() {
            @Override
            public void generate(Endpoint engine, GenerateRequest request, FrameListener listener) {
                new EngineStream(simulation, node, SimulatedEndpoints.this, find(engine), listener)
                        .generate(request);
            }

            @Override
            public void resume(
                    Endpoint engine, String requestId, long fromSequence, FrameListener listener) {
                new EngineStream(simulation, node, SimulatedEndpoints.this, find(engine), listener)
                        .resume(requestId, (int) fromSequence);
            }

            @Override
            public void cancel(Endpoint engine, String requestId) {
                simulation.scheduler().scheduleAfter(1, () -> find(engine).runs.remove(requestId));
            }
        };
    }

    /**
     * Kills an endpoint and starts it again.
     *
     * @param target Chooses the endpoint.
     * @param downMillis How long the endpoint is down, in milliseconds.
     */
    void crash(int target, long downMillis) {
        SimulatedEndpoint member = endpoints.get(target % endpoints.size());
        member.stop();
        simulation.publishMembership();
        simulation.scheduler().scheduleAfter(downMillis, () -> restart(member));
    }

    /**
     * Kills an engine for a prompt, and starts it again.
     *
     * @param member The engine.
     * @param prompt The prompt.
     */
    void crashByPrompt(SimulatedEndpoint member, String prompt) {
        if (member.alive) {
            crashesByPrompt.merge(prompt, 1, Integer::sum);
            crash(endpoints.indexOf(member), CRASH_DOWN_MILLIS);
        }
    }

    /**
     * Notes that a prompt was refused for crashes that it is held to have caused.
     *
     * @param prompt The prompt.
     */
    void recordQuarantineRefusal(String prompt) {
        quarantineRefusals.merge(prompt, 1, Integer::sum);
    }

    /**
     * Returns the crashes of engines by prompt.
     *
     * @return The crashes of engines by prompt.
     */
    public Map<String, Integer> crashesByPrompt() {
        return Map.copyOf(crashesByPrompt);
    }

    /**
     * Returns the refusals of prompts that crash engines, or of all others.
     *
     * @param poison {@code true} for prompts that crash engines.
     * @return The number of refusals.
     */
    public int quarantineRefusals(boolean poison) {
        return quarantineRefusals.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(POISON_PREFIX) == poison)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Lets an endpoint leave and starts it again.
     *
     * @param target Chooses the endpoint.
     * @param downMillis How long the endpoint is down, in milliseconds.
     */
    void leave(int target, long downMillis) {
        SimulatedEndpoint member = endpoints.get(target % endpoints.size());
        if (!member.alive || member.leaving) {
            return;
        }
        member.leaving = true;
        member.leavingSinceMillis = simulation.scheduler().nowMillis();
        simulation.publishMembership();
        long incarnation = member.description.identity().incarnation();
        simulation
                .scheduler()
                .scheduleAfter(
                        LEAVING_DURATION_MILLIS,
                        () -> {
                            if (member.description.identity().incarnation() == incarnation) {
                                member.stop();
                                simulation.publishMembership();
                                simulation.scheduler().scheduleAfter(downMillis, () -> restart(member));
                            }
                        });
    }

    /**
     * Starts an endpoint again.
     *
     * @param member The endpoint.
     */
    private void restart(SimulatedEndpoint member) {
        if (!member.alive) {
            member.start();
            simulation.publishMembership();
        }
    }

    /**
     * Lets connections to plain services break.
     *
     * @param durationMillis For how long, in milliseconds.
     */
    void dropResponses(long durationMillis) {
        dropResponsesUntilMillis = simulation.scheduler().nowMillis() + durationMillis;
    }

    /**
     * Disturbs the frames of engines.
     *
     * @param durationMillis For how long, in milliseconds.
     */
    void disturbFrames(long durationMillis) {
        disturbFramesUntilMillis = simulation.scheduler().nowMillis() + durationMillis;
    }

    /**
     * Returns {@code true} if a connection to a plain service breaks now.
     *
     * @return {@code true} if a connection to a plain service breaks now.
     */
    boolean sampleConnectionBreak() {
        return simulation.scheduler().nowMillis() < dropResponsesUntilMillis
                && simulation.random().nextBoolean();
    }

    /**
     * Returns {@code true} if frames are disturbed now.
     *
     * @return {@code true} if frames are disturbed now.
     */
    boolean isDisturbingFrames() {
        return simulation.scheduler().nowMillis() < disturbFramesUntilMillis;
    }

    /**
     * Notes that new work is sent to an endpoint.
     *
     * @param member The endpoint.
     */
    void checkWorkAllowed(SimulatedEndpoint member) {
        if (refusesWork(member)) {
            simulation.recordViolation(
                    Violation.Guarantee.NO_WORK_AFTER_LEAVING,
                    member.description.name() + " left at " + member.leavingSinceMillis);
        }
    }

    /**
     * Returns {@code true} if an endpoint has been leaving so long that it refuses work.
     *
     * @param member The endpoint.
     * @return {@code true} if an endpoint refuses work.
     */
    boolean refusesWork(SimulatedEndpoint member) {
        return member.leaving
                && simulation.scheduler().nowMillis() - member.leavingSinceMillis
                        > LEAVING_GRACE_MILLIS;
    }

    /**
     * Notes an execution of a plain service.
     *
     * @param body The body.
     */
    void recordExecution(String body) {
        executions.merge(body, 1, Integer::sum);
    }

    /**
     * Returns how often a body was executed.
     *
     * @param body The body.
     * @return How often a body was executed.
     */
    int executions(String body) {
        return executions.getOrDefault(body, 0);
    }

    /**
     * Notes that an engine began a request.
     *
     * @param requestId The identifier of the request.
     */
    void recordRequestStarted(String requestId) {
        startedRequests.add(requestId);
    }

    /**
     * Returns {@code true} if an engine began a request.
     *
     * @param requestId The identifier of the request.
     * @return {@code true} if an engine began a request.
     */
    boolean hasStartedRequest(String requestId) {
        return startedRequests.contains(requestId);
    }

    /**
     * Returns the endpoint that a description names.
     *
     * @param endpoint The description.
     * @return The endpoint.
     */
    private SimulatedEndpoint find(Endpoint endpoint) {
        return endpoints.stream()
                .filter(member -> member.description.name().equals(endpoint.name()))
                .findFirst()
                .orElseThrow();
    }

    /** An endpoint. */
    static final class SimulatedEndpoint {

        /** The present description. */
        private Endpoint description;

        /** Whether the endpoint runs. */
        private boolean alive = true;

        /** Whether the endpoint leaves. */
        private boolean leaving;

        /** When the endpoint began to leave, in milliseconds. */
        private long leavingSinceMillis;

        /** The requests that an engine holds: the pieces that each has so far. */
        private final Map<String, EngineRun> runs = new HashMap<>();

        /**
         * Creates a new endpoint.
         *
         * @param endpoint The description.
         */
        private SimulatedEndpoint(Endpoint endpoint) {
            this.description = endpoint;
        }

        /** Stops the endpoint at once. */
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
         * Returns the incarnation that runs.
         *
         * @return The incarnation, or a negative number if none runs.
         */
        long incarnation() {
            return alive ? description.identity().incarnation() : -1;
        }

        /**
         * Returns the availability zone.
         *
         * @return The availability zone.
         */
        String zone() {
            return description.zone();
        }

        /**
         * Returns the requests that an engine holds.
         *
         * @return The requests by identifier.
         */
        Map<String, EngineRun> runs() {
            return runs;
        }
    }
}
