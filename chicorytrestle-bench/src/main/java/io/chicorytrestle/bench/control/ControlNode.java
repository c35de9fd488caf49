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

/** Runs the control of one entry instance in virtual time. */
final class ControlNode {

    /** The longest lag of an instance's list in milliseconds. */
    private static final int MAXIMUM_LIST_LAG_MILLIS = 5_000;

    /** The bytes of a member on the list, as JSON. */
    private static final int LISTED_MEMBER_BYTES = 150;

    /** The bytes of a read that finds nothing new, or of a poll of an endpoint's load. */
    static final int POLL_BYTES = 300;

    /** The steps of a second. */
    static final int STEPS_PER_SECOND = 20;

    /** The instance. */
    private final InstanceIdentity identity;

    /** The virtual network's side. */
    private final VirtualNetwork.Node node;

    /** Meters messages. */
    private final MeteredNetwork network;

    /** Tells the time. */
    private final VirtualScheduler scheduler;

    /** The platform. */
    private final SimulatedPlatform platform;

    /** What the controllers share. */
    private final Blackboard blackboard = new Blackboard();

    /** Merges membership. */
    private final MembershipController membership;

    /** Spreads tables. */
    private final TableGossip tableGossip;

    /** Admits requests. */
    private final Dispatcher dispatcher;

    /** The controllers in order. */
    private final Controller controller;

    /** The version that the configuration service showed last. */
    private long lastReadVersion;

    /** The processor time of all steps in nanoseconds. */
    private long stepNanos;

    /** The list that was read last. */
    private List<MemberFact> lastMembers = List.of();

    /** The bytes of the lists that were read. */
    private long listBytes;

    /** Whether the platform is cut off. */
    private boolean cutOff;

    /**
     * Creates a new node.
     *
     * @param identity The instance.
     * @param virtual The virtual network.
     * @param scheduler Tells the time.
     * @param platform The platform.
     * @param random The node's random choices.
     */
    ControlNode(
            InstanceIdentity identity,
            VirtualNetwork virtual,
            VirtualScheduler scheduler,
            SimulatedPlatform platform,
            SplittableRandom random) {
        this.identity = identity;
        this.scheduler = scheduler;
        this.platform = platform;
        node = virtual.start(identity);
        network = new MeteredNetwork(node, scheduler);
        int lagMillis = random.nextInt(MAXIMUM_LIST_LAG_MILLIS);
        MemberDescription own = describe(identity);
        membership =
                new MembershipController(
                        own,
                        blackboard,
                        network,
                        () -> readList(lagMillis),
                        AuditTrail.NoOp.INSTANCE,
                        random.split());
        TableRegistry register = new TableRegistry(blackboard, AuditTrail.NoOp.INSTANCE);
        tableGossip = new TableGossip(identity, blackboard, register, network, random.split());
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
     * Describes an instance for the platform's list.
     *
     * @param identity The instance.
     * @return The description.
     */
    static MemberDescription describe(InstanceIdentity identity) {
        return MemberDescription.of(identity, "10.0.0.1", 1);
    }

    /** Takes a step unless the instance is paused or killed. */
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
     * Follows the configuration service as a watch does.
     *
     * @param nowMillis The present time in milliseconds.
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
     * Reads the list.
     *
     * @param lagMillis How far back the list is in milliseconds.
     * @return The list.
     */
    @SuppressWarnings("ReferenceEquality")
    private CompletableFuture<List<MemberFact>> readList(int lagMillis) {
        if (cutOff) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("Cannot reach platform"));
        }
        List<MemberFact> list = platform.listAt(scheduler.nowMillis() - lagMillis);
        listBytes += list == lastMembers ? POLL_BYTES : (long) list.size() * LISTED_MEMBER_BYTES;
        lastMembers = list;
        return CompletableFuture.completedFuture(list);
    }

    /**
     * Cuts the platform off, or heals that.
     *
     * @param isCutOff {@code true} if the platform is cut off.
     */
    void cutOff(boolean isCutOff) {
        cutOff = isCutOff;
    }

    /**
     * Returns the version of the table in force.
     *
     * @return The version.
     */
    long tableVersion() {
        return blackboard.read(Topics.TABLE).version();
    }

    /**
     * Returns {@code true} if the instance serves.
     *
     * @return {@code true} if it runs and its table is not below the floor.
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
     * Returns {@code true} if the instance runs.
     *
     * @return {@code true} if it is neither paused nor killed.
     */
    boolean isRunning() {
        return node.isRunning();
    }

    /**
     * Returns the instance.
     *
     * @return The instance.
     */
    InstanceIdentity identity() {
        return identity;
    }

    /**
     * Returns what the controllers share.
     *
     * @return What the controllers share.
     */
    Blackboard blackboard() {
        return blackboard;
    }

    /**
     * Returns the membership.
     *
     * @return The membership.
     */
    MembershipController membership() {
        return membership;
    }

    /**
     * Returns the dispatcher.
     *
     * @return The dispatcher.
     */
    Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns the bytes of the lists that were read.
     *
     * @return The bytes.
     */
    long listBytes() {
        return listBytes;
    }

    /**
     * Returns the metered network.
     *
     * @return The metered network.
     */
    MeteredNetwork network() {
        return network;
    }

    /**
     * Returns the processor time of all steps.
     *
     * @return The time in nanoseconds.
     */
    long stepNanos() {
        return stepNanos;
    }
}
