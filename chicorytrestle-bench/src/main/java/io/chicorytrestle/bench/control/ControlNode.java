package io.chicorytrestle.bench.control;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MemberFact;
import io.chicorytrestle.core.membership.MembershipController;
import io.chicorytrestle.core.pause.PauseDetector;
import io.chicorytrestle.core.routing.Dispatcher;
import io.chicorytrestle.core.routing.FleetDispatcher;
import io.chicorytrestle.core.routing.RoutingSettings;
import io.chicorytrestle.core.table.TableGossip;
import io.chicorytrestle.core.table.TableRegistry;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Runs the control plane of one entry instance in virtual time: membership, table propagation and
 * admission, without serving callers.
 */
final class ControlNode {

    /** The exclusive upper bound of the lag of an instance's list, in milliseconds. */
    private static final int MAXIMUM_LIST_LAG_MILLIS = 5_000;

    /** The estimated size of a listed member in bytes, as JSON. */
    private static final int LISTED_MEMBER_BYTES = 150;

    /**
     * The estimated size in bytes of a read without changes, or of a poll of an endpoint's load.
     */
    static final int POLL_BYTES = 300;

    /** The number of controller steps per second. */
    static final int STEPS_PER_SECOND = 20;

    /** The name, zone and incarnation of the instance. */
    private final InstanceIdentity identity;

    /** The connection of this incarnation to the virtual network. */
    private final VirtualNetwork.Node node;

    /** The network that the controllers use, which counts bytes and applies the byte budget. */
    private final MeteredNetwork network;

    /** The scheduler that provides the virtual time. */
    private final VirtualScheduler scheduler;

    /** The configuration service and the list of members. */
    private final SimulatedPlatform platform;

    /** The state that the controllers share. */
    private final Blackboard blackboard = new Blackboard();

    /** The controller that merges the view of the fleet from lists and peers. */
    private final MembershipController membership;

    /** The controller that propagates tables between instances. */
    private final TableGossip tableGossip;

    /** The dispatcher that admits requests. */
    private final Dispatcher dispatcher;

    /** All controllers, in the order in which they take a step. */
    private final Controller controller;

    /** The version last read from the configuration service, or zero before the first read. */
    private long lastReadVersion;

    /** The real time that all steps took, in nanoseconds. */
    private long stepNanos;

    /** The list that was read last, to detect reads without changes. */
    private List<MemberFact> lastMembers = List.of();

    /** The estimated size of all list reads in bytes. */
    private long listBytes;

    /** Whether the platform is unreachable for this instance. */
    private boolean cutOff;

    /**
     * Creates and starts an incarnation of an instance, with no state and a random list lag.
     *
     * @param identity The name, zone and incarnation of the instance.
     * @param virtualNetwork The network between all instances.
     * @param scheduler The scheduler that provides the virtual time.
     * @param platform The configuration service and the list of members.
     * @param random The source of random choices of this instance.
     */
    ControlNode(
            InstanceIdentity identity,
            VirtualNetwork virtualNetwork,
            VirtualScheduler scheduler,
            SimulatedPlatform platform,
            SplittableRandom random) {
        this.identity = identity;
        this.scheduler = scheduler;
        this.platform = platform;
        node = virtualNetwork.start(identity);
        network = new MeteredNetwork(node, scheduler);
        int lagMillis = random.nextInt(MAXIMUM_LIST_LAG_MILLIS);
        MemberDescription ownDescription = describe(identity);
        membership =
                new MembershipController(
                        ownDescription,
                        blackboard,
                        network,
                        () -> readList(lagMillis),
                        AuditTrail.NoOp.INSTANCE,
                        random.split());
        TableRegistry registry = new TableRegistry(blackboard, AuditTrail.NoOp.INSTANCE);
        tableGossip = new TableGossip(identity, blackboard, registry, network, random.split());
        membership.register(network);
        tableGossip.register(network);
        dispatcher =
                FleetDispatcher.make(
                        blackboard,
                        identity,
                        network,
                        network,
                        AuditTrail.NoOp.INSTANCE,
                        RoutingSettings.DEFAULT);
        controller =
                new Controller.Compound(
                        List.of(
                                new PauseDetector(blackboard, AuditTrail.NoOp.INSTANCE, List.of()),
                                membership,
                                tableGossip,
                                dispatcher));
    }

    /**
     * Describes an instance for the platform's list. The address is a dummy.
     *
     * @param identity The name, zone and incarnation of the instance.
     * @return The description.
     */
    static MemberDescription describe(InstanceIdentity identity) {
        return MemberDescription.of(identity, "10.0.0.1", 1);
    }

    /** Steps all controllers and sends queued messages, unless the instance is paused or killed. */
    void step() {
        if (!node.isRunning()) {
            return;
        }
        long nowMillis = scheduler.nowMillis();
        long startNanos = System.nanoTime();
        controller.step(nowMillis);
        watchConfiguration(nowMillis);
        network.flush();
        stepNanos += System.nanoTime() - startNanos;
    }

    /**
     * Reads the configuration service as a watch does: a table is received only when its version
     * changes. Counts the watched time while this instance is among the readers.
     *
     * @param nowMillis The present virtual time in milliseconds.
     */
    private void watchConfiguration(long nowMillis) {
        if (!tableGossip.shouldReadPlatform(nowMillis)) {
            return;
        }
        platform.addWatchedSeconds(1.0 / STEPS_PER_SECOND);
        long version = cutOff ? 0 : platform.servedVersion();
        if (version != 0 && version != lastReadVersion) {
            lastReadVersion = version;
            tableGossip.receivePublished(platform.table(version), nowMillis);
        }
    }

    /**
     * Reads the platform's list and counts its size.
     *
     * @param lagMillis The age of the list in milliseconds.
     * @return The list, or a failed future if the platform is unreachable.
     */
    @SuppressWarnings("ReferenceEquality")
    private CompletableFuture<List<MemberFact>> readList(int lagMillis) {
        if (cutOff) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("Cannot read list: the platform is unreachable"));
        }
        List<MemberFact> list = platform.listAt(scheduler.nowMillis() - lagMillis);
        listBytes += list == lastMembers ? POLL_BYTES : (long) list.size() * LISTED_MEMBER_BYTES;
        lastMembers = list;
        return CompletableFuture.completedFuture(list);
    }

    /**
     * Sets whether the platform is unreachable for this instance.
     *
     * @param isUnreachable {@code true} if it is unreachable.
     */
    void cutOff(boolean isUnreachable) {
        cutOff = isUnreachable;
    }

    /**
     * Returns the version of the table that is in force at this instance.
     *
     * @return The version.
     */
    long tableVersion() {
        return blackboard.read(Topics.TABLE).version();
    }

    /**
     * Returns whether the instance would accept callers.
     *
     * @return {@code true} if it is running with a fresh heartbeat and its table is not below the
     *     minimum version.
     */
    boolean isServing() {
        long nowMillis = scheduler.nowMillis();
        return node.isRunning()
                && blackboard.read(Topics.HEARTBEAT).isFresh(nowMillis)
                && blackboard
                        .read(Topics.MINIMUM_TABLE_VERSION)
                        .allows(blackboard.read(Topics.TABLE));
    }

    /**
     * Returns whether the instance is running.
     *
     * @return {@code true} if it is neither paused nor killed.
     */
    boolean isRunning() {
        return node.isRunning();
    }

    /**
     * Returns the identity of this incarnation.
     *
     * @return The name, zone and incarnation.
     */
    InstanceIdentity identity() {
        return identity;
    }

    /**
     * Returns the state that the controllers share.
     *
     * @return The blackboard.
     */
    Blackboard blackboard() {
        return blackboard;
    }

    /**
     * Returns the membership controller, to report the results of requests to it.
     *
     * @return The controller.
     */
    MembershipController membership() {
        return membership;
    }

    /**
     * Returns the dispatcher that admits requests.
     *
     * @return The dispatcher.
     */
    Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns the estimated size of all list reads since the start of this incarnation.
     *
     * @return The number of bytes.
     */
    long listBytes() {
        return listBytes;
    }

    /**
     * Returns the network with its byte counts since the start of this incarnation.
     *
     * @return The network.
     */
    MeteredNetwork network() {
        return network;
    }

    /**
     * Returns the real time that all steps of this incarnation took, as an estimate of their
     * processor time.
     *
     * @return The time in nanoseconds.
     */
    long stepNanos() {
        return stepNanos;
    }
}
