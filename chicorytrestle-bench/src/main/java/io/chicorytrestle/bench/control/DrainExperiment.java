package io.chicorytrestle.bench.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.EndpointState;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MemberFact;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures for how long leaving endpoints still receive new requests while entry instances read an
 * outdated list of members from the platform.
 */
public final class DrainExperiment implements Experiment {

    /** The number of entry instances. */
    private static final int ENTRY_INSTANCES = 16;

    /** The number of availability zones. */
    private static final int ZONES = 3;

    /** The number of endpoints. */
    private static final int ENDPOINTS = 9;

    /** The number of departures of endpoints if the options set no number of runs. */
    private static final int DRAINS = 60;

    /** The interval between departures in milliseconds. */
    private static final long DRAIN_INTERVAL_MILLIS = 20_000;

    /**
     * The time from a departure to the start of the endpoint's next incarnation, in milliseconds.
     */
    private static final long DOWN_MILLIS = 12_000;

    /** The interval between requests of an entry instance in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 400;

    /** The maximum time for which a leaving endpoint may receive new requests, in milliseconds. */
    private static final long MAXIMUM_NEW_WORK_MILLIS = 3_000;

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String summary() {
        return "work sent to leaving endpoints while lists lag";
    }

    @Override
    public Report run(ExperimentOptions options) {
        Simulation simulation = new Simulation(options.seed());
        simulation.simulate(options.runs() == 0 ? DRAINS : options.runs());
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("experiment", name()).put("seed", options.seed());
        figures.put("daemons", ENTRY_INSTANCES).put("drains", simulation.drains);
        figures.put("newWorkAfterLeavingMaxMillis", simulation.maximumNewWorkMillis);
        figures.put("attemptsAfterLeaving", simulation.attemptsAfterLeaving);
        figures.put("flaps", simulation.flaps);
        figures.put("wrongExclusions", simulation.wrongExclusions);
        boolean met =
                simulation.maximumNewWorkMillis <= MAXIMUM_NEW_WORK_MILLIS && simulation.flaps == 0;
        return new Report(figures, met && simulation.wrongExclusions == 0);
    }

    /** Simulates the departures and requests of one run. */
    private static final class Simulation {

        /** The simulated entry instances and their platform. */
        private final ControlFleet fleet;

        /** The endpoints by number, each in its newest incarnation. */
        private final List<MemberDescription> endpoints;

        /** The virtual time at which each incarnation started to leave, in milliseconds. */
        private final Map<EndpointIdentity, Long> leavingSinceMillis = new HashMap<>();

        /** The virtual time at which each incarnation started, in milliseconds. */
        private final Map<EndpointIdentity, Long> startedMillis = new HashMap<>();

        /**
         * Whether an entry instance assumed at its previous request that an endpoint incarnation
         * was leaving, by the instance's name and the endpoint's identity.
         */
        private final Map<String, Boolean> lastSeenLeaving = new HashMap<>();

        /** The number of departures. */
        private int drains;

        /** The number of requests sent to leaving endpoints. */
        private long attemptsAfterLeaving;

        /**
         * The longest time from a departure to a request that was still sent to the leaving
         * endpoint, in milliseconds.
         */
        private long maximumNewWorkMillis;

        /**
         * The number of times an entry instance changed an endpoint incarnation from leaving to
         * another state.
         */
        private long flaps;

        /** The number of times an entry instance excluded a healthy endpoint from a request. */
        private long wrongExclusions;

        /**
         * Creates and starts the fleet with its endpoints.
         *
         * @param seed The seed of all random choices.
         */
        private Simulation(long seed) {
            fleet = new ControlFleet(ENTRY_INSTANCES, ZONES, 1, seed);
            endpoints = fleet.addEndpoints(ENDPOINTS);
            endpoints.forEach(
                    endpoint -> startedMillis.put(identity(endpoint), ControlFleet.START_MILLIS));
        }

        /**
         * Simulates departures and restarts of endpoints while all entry instances send requests.
         *
         * @param departures The number of departures.
         */
        private void simulate(int departures) {
            long atMillis = ControlFleet.START_MILLIS + DRAIN_INTERVAL_MILLIS;
            for (int number = 0; number < ENTRY_INSTANCES; number++) {
                int index = number;
                long firstMillis = atMillis + fleet.random().nextLong(REQUEST_INTERVAL_MILLIS);
                fleet.scheduler()
                        .every(firstMillis, REQUEST_INTERVAL_MILLIS, () -> sendRequest(index));
            }
            for (int departure = 0; departure < departures; departure++) {
                atMillis += DRAIN_INTERVAL_MILLIS;
                int index = fleet.random().nextInt(ENDPOINTS);
                fleet.scheduler().scheduleAt(atMillis, () -> leave(index));
                fleet.scheduler().scheduleAt(atMillis + DOWN_MILLIS, () -> restart(index));
            }
            fleet.scheduler().runUntil(atMillis + DRAIN_INTERVAL_MILLIS);
        }

        /**
         * Lets an endpoint leave. Entry instances find the change in the list only later, since
         * they read it with a delay.
         *
         * @param index The number of the endpoint.
         */
        private void leave(int index) {
            long nowMillis = fleet.scheduler().nowMillis();
            MemberDescription endpoint = endpoints.get(index);
            leavingSinceMillis.put(identity(endpoint), nowMillis);
            fleet.platform().listMember(MemberFact.of(endpoint, true), nowMillis);
            drains++;
        }

        /**
         * Starts the next incarnation of an endpoint.
         *
         * @param index The number of the endpoint.
         */
        private void restart(int index) {
            long nowMillis = fleet.scheduler().nowMillis();
            MemberDescription next = endpoints.get(index).withIncarnation(nowMillis);
            endpoints.set(index, next);
            startedMillis.put(identity(next), nowMillis);
            fleet.platform().listMember(MemberFact.of(next, false), nowMillis);
        }

        /**
         * Checks the states of endpoints at an instance, and sends a request from it to a random
         * endpoint that it assumes to accept work. The reply tells the instance whether the
         * endpoint is leaving.
         *
         * @param index The number of the instance.
         */
        private void sendRequest(int index) {
            ControlNode node = fleet.nodes().get(index);
            List<EndpointMember> members = node.blackboard().read(Topics.MEMBERSHIP).endpoints();
            members.forEach(member -> checkState(node, member));
            List<EndpointMember> acceptingMembers =
                    members.stream().filter(member -> member.state().acceptsWork()).toList();
            if (acceptingMembers.isEmpty()) {
                return;
            }
            EndpointIdentity target =
                    acceptingMembers
                            .get(fleet.random().nextInt(acceptingMembers.size()))
                            .endpoint()
                            .identity();
            long nowMillis = fleet.scheduler().nowMillis();
            Long leavingSince = leavingSinceMillis.get(target);
            if (leavingSince == null) {
                node.membership().endpointSucceeded(target, nowMillis);
            } else {
                attemptsAfterLeaving++;
                maximumNewWorkMillis = Math.max(maximumNewWorkMillis, nowMillis - leavingSince);
                node.membership().endpointLeaving(target, nowMillis);
            }
        }

        /**
         * Checks the state that an instance assumes for an endpoint, and counts it if it is a flap
         * or a wrong exclusion.
         *
         * @param node The instance.
         * @param member The endpoint with the state that the instance assumes.
         */
        private void checkState(ControlNode node, EndpointMember member) {
            EndpointIdentity identity = member.endpoint().identity();
            String key = node.identity().name() + "/" + identity;
            boolean isLeaving = member.state() == EndpointState.LEAVING;
            Boolean previous = lastSeenLeaving.put(key, isLeaving);
            if (Boolean.TRUE.equals(previous) && !isLeaving) {
                flaps++;
            }
            boolean isHealthy =
                    startedMillis.containsKey(identity)
                            && !leavingSinceMillis.containsKey(identity);
            if (isHealthy && !member.state().acceptsWork()) {
                wrongExclusions++;
            }
        }

        /**
         * Returns the identity of an endpoint incarnation.
         *
         * @param endpoint The description of the incarnation.
         * @return The name and the incarnation.
         */
        private static EndpointIdentity identity(MemberDescription endpoint) {
            return endpoint.toEndpoint().identity();
        }
    }
}
