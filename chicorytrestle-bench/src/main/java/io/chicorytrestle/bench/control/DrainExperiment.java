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

/** Measures how long leaving endpoints still get work while the lists lag. */
public final class DrainExperiment implements Experiment {

    /** The daemons. */
    private static final int DAEMONS = 16;

    /** The availability zones. */
    private static final int ZONES = 3;

    /** The endpoints. */
    private static final int ENDPOINTS = 9;

    /** The endpoints that leave in a run. */
    private static final int DRAINS = 60;

    /** The time between endpoints that leave in milliseconds. */
    private static final long DRAIN_INTERVAL_MILLIS = 20_000;

    /** The time from leaving to the next run of the endpoint in milliseconds. */
    private static final long DOWN_MILLIS = 12_000;

    /** The time between requests at an instance in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 400;

    /** The longest time for which a leaving endpoint may get work, in milliseconds. */
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
        Simulation run = new Simulation(options.seed());
        run.simulate(options.runs() == 0 ? DRAINS : options.runs());
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("experiment", name()).put("seed", options.seed());
        figures.put("daemons", DAEMONS).put("drains", run.drains);
        figures.put("newWorkAfterLeavingMaxMillis", run.maximumNewWorkMillis);
        figures.put("attemptsAfterLeaving", run.attemptsAfterLeaving);
        figures.put("flaps", run.flaps);
        figures.put("wrongExclusions", run.wrongExclusions);
        boolean met = run.maximumNewWorkMillis <= MAXIMUM_NEW_WORK_MILLIS && run.flaps == 0;
        return new Report(figures, met && run.wrongExclusions == 0);
    }

    /** Plays one run. */
    private static final class Simulation {

        /** The fleet. */
        private final ControlFleet fleet;

        /** The endpoints as they run now. */
        private final List<MemberDescription> endpoints;

        /** The times at which endpoints began to leave, by run. */
        private final Map<EndpointIdentity, Long> leavingSinceMillis = new HashMap<>();

        /** The times at which runs began. */
        private final Map<EndpointIdentity, Long> startedMillis = new HashMap<>();

        /** Whether an instance saw a run leaving. */
        private final Map<String, Boolean> lastSeenLeaving = new HashMap<>();

        /** The endpoints that left. */
        private int drains;

        /** The requests that were sent to leaving endpoints. */
        private long attemptsAfterLeaving;

        /** The longest time after which a leaving endpoint got a request, in milliseconds. */
        private long maximumNewWorkMillis;

        /** The times that a run that was seen leaving was seen live again. */
        private long flaps;

        /** The requests for which an endpoint that runs well was excluded. */
        private long wrongExclusions;

        /**
         * Creates a new run.
         *
         * @param seed The seed of random choices.
         */
        private Simulation(long seed) {
            fleet = new ControlFleet(DAEMONS, ZONES, 1, seed);
            endpoints = fleet.addEndpoints(ENDPOINTS);
            endpoints.forEach(
                    endpoint -> startedMillis.put(identity(endpoint), ControlFleet.START_MILLIS));
        }

        /**
         * Lets endpoints leave and come back under requests.
         *
         * @param count The number of endpoints that leave.
         */
        private void simulate(int count) {
            long at = ControlFleet.START_MILLIS + DRAIN_INTERVAL_MILLIS;
            for (int number = 0; number < DAEMONS; number++) {
                int index = number;
                long first = at + fleet.random().nextLong(REQUEST_INTERVAL_MILLIS);
                fleet.scheduler().scheduleRepeating(first, REQUEST_INTERVAL_MILLIS, () -> sendRequest(index));
            }
            for (int drain = 0; drain < count; drain++) {
                at += DRAIN_INTERVAL_MILLIS;
                int index = fleet.random().nextInt(ENDPOINTS);
                fleet.scheduler().scheduleAt(at, () -> leave(index));
                fleet.scheduler().scheduleAt(at + DOWN_MILLIS, () -> restart(index));
            }
            fleet.scheduler().runUntil(at + DRAIN_INTERVAL_MILLIS);
        }

        /**
         * Lets an endpoint leave; the lists tell so later.
         *
         * @param index The endpoint's number.
         */
        private void leave(int index) {
            long nowMillis = fleet.scheduler().nowMillis();
            MemberDescription endpoint = endpoints.get(index);
            leavingSinceMillis.put(identity(endpoint), nowMillis);
            fleet.platform().listMember(MemberFact.of(endpoint, true), nowMillis);
            drains++;
        }

        /**
         * Starts the next run of an endpoint.
         *
         * @param index The endpoint's number.
         */
        private void restart(int index) {
            long nowMillis = fleet.scheduler().nowMillis();
            MemberDescription next = endpoints.get(index).withIncarnation(nowMillis);
            endpoints.set(index, next);
            startedMillis.put(identity(next), nowMillis);
            fleet.platform().listMember(MemberFact.of(next, false), nowMillis);
        }

        /**
         * Sends a request from an instance to any endpoint that it believes live.
         *
         * @param index The instance's number.
         */
        private void sendRequest(int index) {
            ControlNode node = fleet.nodes().get(index);
            List<EndpointMember> members = node.blackboard().read(Topics.MEMBERSHIP).endpoints();
            members.forEach(member -> checkState(node, member));
            List<EndpointMember> accepting =
                    members.stream().filter(member -> member.state().acceptsWork()).toList();
            if (accepting.isEmpty()) {
                return;
            }
            EndpointIdentity target =
                    accepting.get(fleet.random().nextInt(accepting.size())).endpoint().identity();
            long nowMillis = fleet.scheduler().nowMillis();
            Long since = leavingSinceMillis.get(target);
            if (since == null) {
                node.membership().endpointSucceeded(target, nowMillis);
            } else {
                attemptsAfterLeaving++;
                maximumNewWorkMillis = Math.max(maximumNewWorkMillis, nowMillis - since);
                node.membership().endpointLeaving(target, nowMillis);
            }
        }

        /**
         * Looks at what an instance believes of an endpoint.
         *
         * @param node The instance.
         * @param member The endpoint with the believed state.
         */
        private void checkState(ControlNode node, EndpointMember member) {
            EndpointIdentity identity = member.endpoint().identity();
            String key = node.identity().name() + "/" + identity;
            boolean isLeaving = member.state() == EndpointState.LEAVING;
            Boolean before = lastSeenLeaving.put(key, isLeaving);
            if (Boolean.TRUE.equals(before) && !isLeaving) {
                flaps++;
            }
            boolean runsWell =
                    startedMillis.containsKey(identity)
                            && !leavingSinceMillis.containsKey(identity);
            if (runsWell && !member.state().acceptsWork()) {
                wrongExclusions++;
            }
        }

        /**
         * Returns the identity of an endpoint's run.
         *
         * @param endpoint The endpoint.
         * @return The identity.
         */
        private static EndpointIdentity identity(MemberDescription endpoint) {
            return endpoint.toEndpoint().identity();
        }
    }
}
