package io.chicorytrestle.bench.control;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MemberFact;
import io.chicorytrestle.core.membership.MemberKind;
import io.chicorytrestle.peer.FrameCodec;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Runs the control of many entry instances in virtual time. */
final class ControlFleet {

    /** The virtual time at which a run starts, in milliseconds. */
    static final long START_MILLIS = 1_000_000;

    /** The requests that an endpoint runs at the same time. */
    private static final int CAPACITY_REQUESTS = 16;

    /** The delay of a message in milliseconds. */
    private static final long MESSAGE_DELAY_MILLIS = 1;

    /** The time between steps in milliseconds. */
    private static final long STEP_INTERVAL_MILLIS = 1_000 / ControlNode.STEPS_PER_SECOND;

    /** Tells the time. */
    private final VirtualScheduler scheduler = new VirtualScheduler(START_MILLIS);

    /** Carries messages. */
    private final VirtualNetwork network =
            new VirtualNetwork(scheduler, MESSAGE_DELAY_MILLIS, FrameCodec.INSTANCE::frameBytes);

    /** The platform. */
    private final SimulatedPlatform platform;

    /** The random choices. */
    private final SplittableRandom random;

    /** The number of availability zones. */
    private final int zones;

    /** The instances by number. */
    private final List<ControlNode> nodes = new ArrayList<>();

    /**
     * Creates and starts a new fleet.
     *
     * @param daemons The number of entry instances.
     * @param zones The number of availability zones.
     * @param workspaces The number of workspaces of the table.
     * @param seed The seed of random choices.
     */
    ControlFleet(int daemons, int zones, int workspaces, long seed) {
        this.zones = zones;
        platform = new SimulatedPlatform(workspaces);
        random = new SplittableRandom(seed);
        for (int number = 0; number < daemons; number++) {
            platform.listMember(
                    MemberFact.of(ControlNode.describe(identity(number)), false), START_MILLIS);
        }
        for (int number = 0; number < daemons; number++) {
            nodes.add(createNode(number));
            int index = number;
            scheduler.scheduleRepeating(
                    START_MILLIS + random.nextInt((int) STEP_INTERVAL_MILLIS),
                    STEP_INTERVAL_MILLIS,
                    () -> nodes.get(index).step());
        }
    }

    /**
     * Restarts an instance at once, with nothing that it knew.
     *
     * @param number The instance's number.
     */
    void restart(int number) {
        platform.listMember(
                MemberFact.of(ControlNode.describe(identity(number)), false),
                scheduler.nowMillis());
        nodes.set(number, createNode(number));
    }

    /**
     * Pauses an instance for a while.
     *
     * @param number The instance's number.
     * @param millis The length of the pause in milliseconds.
     */
    void pause(int number, long millis) {
        String name = nodes.get(number).identity().name();
        network.pause(name);
        scheduler.scheduleAfter(millis, () -> network.resume(name));
    }

    /**
     * Cuts a zone off from all others and from the platform, or heals that.
     *
     * @param zone The number of the zone.
     * @param isCutOff {@code true} to cut it off.
     */
    void setZoneIsolated(int zone, boolean isCutOff) {
        network.healPartitions();
        for (int other = 0; isCutOff && other < zones; other++) {
            if (other != zone) {
                network.partition(zoneName(zone), zoneName(other));
            }
        }
        nodes.stream()
                .filter(node -> node.identity().zone().equals(zoneName(zone)))
                .forEach(node -> node.cutOff(isCutOff));
    }

    /**
     * Adds endpoints to the platform's list.
     *
     * @param count The number of endpoints.
     * @return The endpoints.
     */
    List<MemberDescription> addEndpoints(int count) {
        List<MemberDescription> endpoints = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            MemberDescription endpoint =
                    new MemberDescription(
                            MemberKind.ENGINE.number(),
                            "engine-" + number,
                            scheduler.nowMillis(),
                            zoneName(number % zones),
                            "10.0.0.2",
                            number,
                            "engines",
                            CAPACITY_REQUESTS);
            endpoints.add(endpoint);
            platform.listMember(MemberFact.of(endpoint, false), START_MILLIS);
        }
        return endpoints;
    }

    /**
     * Lists the next run of an endpoint.
     *
     * @param endpoint The endpoint.
     */
    void restartEndpoint(MemberDescription endpoint) {
        platform.listMember(
                MemberFact.of(endpoint.withIncarnation(scheduler.nowMillis()), false),
                scheduler.nowMillis());
    }

    /**
     * Returns the instances.
     *
     * @return The instances by number.
     */
    List<ControlNode> nodes() {
        return nodes;
    }

    /**
     * Returns the platform.
     *
     * @return The platform.
     */
    SimulatedPlatform platform() {
        return platform;
    }

    /**
     * Returns the scheduler.
     *
     * @return The scheduler.
     */
    VirtualScheduler scheduler() {
        return scheduler;
    }

    /**
     * Returns the random choices.
     *
     * @return The random choices.
     */
    SplittableRandom random() {
        return random;
    }

    /**
     * Returns the name of a zone.
     *
     * @param zone The number of the zone.
     * @return The name.
     */
    String zoneName(int zone) {
        return "zone-" + zone;
    }

    /**
     * Creates the next run of an instance.
     *
     * @param number The instance's number.
     * @return The instance.
     */
    private ControlNode createNode(int number) {
        return new ControlNode(identity(number), network, scheduler, platform, random.split());
    }

    /**
     * Returns the identity of an instance that starts now.
     *
     * @param number The instance's number.
     * @return The identity.
     */
    private InstanceIdentity identity(int number) {
        return new InstanceIdentity(
                "entry-" + number, zoneName(number % zones), scheduler.nowMillis());
    }
}
