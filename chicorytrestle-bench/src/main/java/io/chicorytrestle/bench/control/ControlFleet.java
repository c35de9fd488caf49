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

/** Runs the control plane of many entry instances in virtual time. */
final class ControlFleet {

    /** The virtual time at which the fleet starts, in milliseconds. */
    static final long START_MILLIS = 1_000_000;

    /** The number of requests that an endpoint runs concurrently. */
    private static final int CAPACITY_REQUESTS = 16;

    /** The delay of a message between instances in milliseconds. */
    private static final long MESSAGE_DELAY_MILLIS = 1;

    /** The interval between steps of an instance in milliseconds. */
    private static final long STEP_INTERVAL_MILLIS = 1_000 / ControlNode.STEPS_PER_SECOND;

    /** The scheduler that advances the virtual time. */
    private final VirtualScheduler scheduler = new VirtualScheduler(START_MILLIS);

    /** The network between the instances, which measures messages by their encoded frame size. */
    private final VirtualNetwork network =
            new VirtualNetwork(scheduler, MESSAGE_DELAY_MILLIS, FrameCodec.INSTANCE::frameBytes);

    /** The configuration service and the list of members. */
    private final SimulatedPlatform platform;

    /** The source of all random choices. */
    private final SplittableRandom random;

    /** The number of availability zones. */
    private final int zones;

    /** The instances by number, each in its newest incarnation. */
    private final List<ControlNode> nodes = new ArrayList<>();

    /**
     * Creates and starts a fleet whose instances are all listed from the start.
     *
     * @param daemons The number of entry instances.
     * @param zones The number of availability zones.
     * @param workspaces The number of workspaces in the table.
     * @param seed The seed of all random choices.
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
            scheduler.every(
                    START_MILLIS + random.nextInt((int) STEP_INTERVAL_MILLIS),
                    STEP_INTERVAL_MILLIS,
                    () -> nodes.get(index).step());
        }
    }

    /**
     * Replaces an instance immediately by its next incarnation, which starts without any state.
     *
     * @param number The number of the instance.
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
     * @param number The number of the instance.
     * @param durationMillis The duration of the pause in milliseconds.
     */
    void pause(int number, long durationMillis) {
        String name = nodes.get(number).identity().name();
        network.pause(name);
        scheduler.scheduleAfter(durationMillis, () -> network.resume(name));
    }

    /**
     * Isolates a zone from all others and from the platform, or ends that. Any other partition of
     * the network ends in both cases.
     *
     * @param zone The number of the zone.
     * @param isIsolated {@code true} to isolate the zone, {@code false} to reconnect it.
     */
    void setZoneIsolated(int zone, boolean isIsolated) {
        network.healPartitions();
        for (int other = 0; isIsolated && other < zones; other++) {
            if (other != zone) {
                network.partition(zoneName(zone), zoneName(other));
            }
        }
        nodes.stream()
                .filter(node -> node.identity().zone().equals(zoneName(zone)))
                .forEach(node -> node.cutOff(isIsolated));
    }

    /**
     * Adds engines to the platform's list, spread evenly over the zones.
     *
     * @param count The number of engines.
     * @return The descriptions of the engines, by number.
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
     * Lists the next incarnation of an endpoint, which starts now.
     *
     * @param endpoint The description of an earlier incarnation.
     */
    void restartEndpoint(MemberDescription endpoint) {
        platform.listMember(
                MemberFact.of(endpoint.withIncarnation(scheduler.nowMillis()), false),
                scheduler.nowMillis());
    }

    /**
     * Returns the instances.
     *
     * @return The modifiable list of instances by number, which changes with restarts.
     */
    List<ControlNode> nodes() {
        return nodes;
    }

    /**
     * Returns the platform that all instances use.
     *
     * @return The configuration service and the list of members.
     */
    SimulatedPlatform platform() {
        return platform;
    }

    /**
     * Returns the scheduler that advances the virtual time.
     *
     * @return The scheduler.
     */
    VirtualScheduler scheduler() {
        return scheduler;
    }

    /**
     * Returns the source of all random choices.
     *
     * @return The generator.
     */
    SplittableRandom random() {
        return random;
    }

    /**
     * Returns the name of a zone.
     *
     * @param zone The number of the zone, from zero on.
     * @return The name.
     */
    String zoneName(int zone) {
        return "zone-" + zone;
    }

    /**
     * Creates an incarnation of an instance that starts now.
     *
     * @param number The number of the instance.
     * @return The new incarnation.
     */
    private ControlNode createNode(int number) {
        return new ControlNode(identity(number), network, scheduler, platform, random.split());
    }

    /**
     * Returns the identity of an instance that starts now.
     *
     * @param number The number of the instance, which determines its zone.
     * @return The identity, with the present virtual time as its incarnation.
     */
    private InstanceIdentity identity(int number) {
        return new InstanceIdentity(
                "entry-" + number, zoneName(number % zones), scheduler.nowMillis());
    }
}
