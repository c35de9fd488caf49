package io.chicorytrestle.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.codahale.metrics.jvm.ThreadStatesGaugeSet;
import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.daemon.caller.CallerDependencies;
import io.chicorytrestle.daemon.caller.CallerMetrics;
import io.chicorytrestle.daemon.caller.CallerServer;
import io.chicorytrestle.daemon.caller.RequestIdGenerator;
import io.chicorytrestle.daemon.caller.RequestLimiter;
import io.chicorytrestle.daemon.caller.WorkspaceKeys;
import io.chicorytrestle.daemon.endpoint.HttpEngineClient;
import io.chicorytrestle.daemon.endpoint.HttpServiceClient;
import io.chicorytrestle.daemon.loop.EventLoopPool;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.operator.OperatorDependencies;
import io.chicorytrestle.daemon.operator.OperatorServer;
import io.chicorytrestle.daemon.operator.Readiness;
import io.chicorytrestle.daemon.platform.ConfigurationValue;
import io.chicorytrestle.daemon.platform.ConfigurationWatch;
import io.chicorytrestle.daemon.platform.PlatformClient;
import io.chicorytrestle.daemon.settings.Settings;
import io.chicorytrestle.peer.PeerChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

/** Runs one entry instance within this process. */
public final class DaemonNode implements AutoCloseable {

    /** Writes log lines. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The milliseconds between two steps of the controllers. */
    private static final long STEP_PERIOD_MILLIS = 25;

    /** The milliseconds between two reads of the workspaces' keys. */
    private static final long KEYS_READ_PERIOD_MILLIS = 3_000;

    /** The settings. */
    private final Settings settings;

    /** Tells the present time. */
    private final MonotonicClock clock;

    /** The event loops that serve callers. */
    private final EventLoopPool callerLoops;

    /** The event loop of control, in a group of its own. */
    private final EventLoopPool controlLoops;

    /** The decisions. */
    private final CoreComponents components;

    /** What is stepped. */
    private final Controller controller;

    /** Reaches the other entry instances. */
    private final PeerChannel peers;

    /** Counts the requests in flight. */
    private final RequestLimiter requestLimiter;

    /** Reads the platform. */
    private final PlatformClient platform;

    /** Serves callers. */
    private final CallerServer callers;

    /** Answers operators. */
    private final OperatorServer operators;

    /**
     * Creates a new node that listens, but does not know the platform yet.
     *
     * @param settings The settings.
     * @param loops The event loops that serve callers.
     * @param control The event loop of control, in a group of its own.
     * @throws IOException If a port cannot be listened at.
     */
    private DaemonNode(Settings settings, EventLoopPool loops, EventLoopPool control)
            throws IOException {
        this.settings = settings;
        this.callerLoops = loops;
        this.controlLoops = control;
        clock = MonotonicClock.start();
        platform = new PlatformClient(controlLoop(), settings.platform());
        InstanceIdentity self =
                new InstanceIdentity(
                        settings.instance().name(), settings.instance().zone(), clock.nowMillis());
        Blackboard blackboard = new Blackboard();
        Settings.Peers reached = PeerChannelFactory.withAssignedPort(settings.peers());
        peers = PeerChannelFactory.create(self, reached, blackboard, clock);
        components =
                CoreComponents.make(
                        settings, self, externalDependencies(blackboard, reached.port()), clock);
        controller = components.compoundController();
        peers.setObserver(components.membershipController());
        peers.start();
        requestLimiter = new RequestLimiter(settings.limits().requestsInFlight());
        MetricRegistry metrics = createMetrics();
        callers =
                CallerServer.start(
                        controlLoop(),
                        loops,
                        new CallerDependencies(
                                components.blackboard(),
                                components.chatCoordinator(),
                                components.callCoordinator(),
                                settings,
                                clock,
                                requestLimiter,
                                new RequestIdGenerator(self),
                                new CallerMetrics(metrics)));
        operators =
                OperatorServer.start(
                        controlLoop(),
                        settings.operators(),
                        new OperatorDependencies(
                                self,
                                components.blackboard(),
                                components.tableRegistry(),
                                components.dispatcher(),
                                components.auditTrail(),
                                metrics,
                                this::readiness,
                                clock));
    }

    /**
     * Starts an entry instance.
     *
     * @param settings The settings.
     * @return The running entry instance.
     * @throws IOException If a port cannot be listened at.
     */
    public static DaemonNode start(Settings settings) throws IOException {
        EventLoopPool loops = EventLoopPool.start("callers", settings.callers().threads());
        EventLoopPool control = EventLoopPool.start("control", 1);
        DaemonNode node;
        try {
            node = new DaemonNode(settings, loops, control);
        } catch (IOException exception) {
            loops.close();
            control.close();
            throw exception;
        }
        node.startControl();
        LOGGER.atInfo().log(
                "Started entry instance %s with callers at port %d and operators at port %d",
                settings.instance().name(), node.callerPort(), node.operatorPort());
        return node;
    }

    /**
     * Returns the port at which callers are served.
     *
     * @return The TCP port.
     */
    public int callerPort() {
        return callers.port();
    }

    /**
     * Returns the port at which operators read.
     *
     * @return The TCP port.
     */
    public int operatorPort() {
        return operators.port();
    }

    /**
     * Shuts down gracefully: takes no new requests, tells the others, finishes what is in flight
     * and hands outcomes on. The node has to be closed afterwards.
     *
     * @return {@code true} if everything was finished within the deadline of the settings.
     */
    public CompletableFuture<Boolean> drain() {
        LOGGER.atInfo().log("Draining entry instance %s", settings.instance().name());
        requestLimiter.startDraining();
        DrainWaiter drain =
                new DrainWaiter(
                        controlLoop(),
                        clock,
                        clock.nowMillis() + settings.drain().deadlineMillis(),
                        () -> requestLimiter.inFlight() + components.inFlight());
        controlLoop().execute(() -> components.membershipController().leave(clock.nowMillis()));
        components.chatCoordinator().close();
        components.callCoordinator().close();
        return callers.stopAccepting()
                .thenCompose(ignored -> drain.awaitIdle())
                .thenCompose(
                        idle ->
                                components
                                        .callCoordinator()
                                        .handOver(clock.nowMillis())
                                        .handle((done, failure) -> idle && failure == null));
    }

    @Override
    public void close() {
        peers.close();
        callerLoops.close();
        controlLoops.close();
    }

    /**
     * Returns the event loop of control.
     *
     * @return The event loop of control.
     */
    private Eventloop controlLoop() {
        return controlLoops.all().get(0);
    }

    /**
     * Returns what the decisions reach.
     *
     * @param blackboard Holds what the controllers share.
     * @param peerPort The TCP port of the peer channel.
     * @return What the decisions reach.
     */
    private CoreComponents.ExternalDependencies externalDependencies(
            Blackboard blackboard, int peerPort) {
        return new CoreComponents.ExternalDependencies(
                blackboard,
                peers,
                peers,
                peerPort,
                platform::readInstances,
                HttpEngineClient.make(callerLoops, settings.endpoints(), clock),
                HttpServiceClient.make(callerLoops, settings.endpoints(), clock));
    }

    /**
     * Creates the metrics of this node.
     *
     * @return The metrics.
     */
    private MetricRegistry createMetrics() {
        MetricRegistry metrics = new MetricRegistry();
        metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
        metrics.registerAll("jvm.collector", new GarbageCollectorMetricSet());
        metrics.registerAll("jvm.threads", new ThreadStatesGaugeSet());
        metrics.register("load.requestsInFlight", (Gauge<Integer>) requestLimiter::inFlight);
        metrics.register(
                "load.chatsInFlight", (Gauge<Integer>) components.chatCoordinator()::inFlight);
        metrics.register(
                "load.callsInFlight", (Gauge<Integer>) components.callCoordinator()::inFlight);
        for (MessagePriority urgency : MessagePriority.values()) {
            String name = urgency.name().toLowerCase(Locale.ROOT);
            metrics.register(
                    "peers.sentBytes." + name,
                    (Gauge<Long>) () -> peers.traffic().sentBytes(urgency));
            metrics.register(
                    "peers.receivedBytes." + name,
                    (Gauge<Long>) () -> peers.traffic().receivedBytes(urgency));
        }
        metrics.register("peers.droppedMessages", (Gauge<Long>) peers::droppedMessages);
        return metrics;
    }

    /**
     * Returns whether this node can serve.
     *
     * @return Whether this node can serve.
     */
    private Readiness readiness() {
        return new Readiness(
                components.blackboard().read(Topics.TABLE).version() > 0,
                components.blackboard().read(WorkspaceKeys.TOPIC).revision() > 0,
                !components.blackboard().read(Topics.MEMBERSHIP).endpoints().isEmpty(),
                components
                        .blackboard()
                        .read(Topics.MINIMUM_TABLE_VERSION)
                        .allows(components.blackboard().read(Topics.TABLE)),
                requestLimiter.isDraining());
    }

    /** Starts to follow the platform and to step the controllers. */
    private void startControl() {
        new ConfigurationWatch(
                        controlLoop(),
                        platform,
                        new ConfigurationWatch.Schedule(
                                "table", settings.platform().watchMillis(), 0),
                        () -> components.tableGossip().shouldReadPlatform(clock.nowMillis()),
                        this::onTable)
                .start();
        new ConfigurationWatch(
                        controlLoop(),
                        platform,
                        new ConfigurationWatch.Schedule(
                                "workspace-keys", 0, KEYS_READ_PERIOD_MILLIS),
                        () -> true,
                        this::onKeys)
                .start();
        controlLoop().execute(this::stepControllers);
    }

    /** Steps the controllers from time to time. */
    private void stepControllers() {
        try {
            controller.step(clock.nowMillis());
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("Cannot step controllers");
        }
        controlLoop().delayBackground(STEP_PERIOD_MILLIS, this::stepControllers);
    }

    /**
     * Accepts a table.
     *
     * @param value The platform's value.
     */
    private void onTable(ConfigurationValue value) {
        components.tableGossip().receivePublished(value.content(), clock.nowMillis());
    }

    /**
     * Accepts the workspaces' keys.
     *
     * @param value The platform's value.
     */
    private void onKeys(ConfigurationValue value) {
        try {
            components
                    .blackboard()
                    .write(
                            WorkspaceKeys.TOPIC,
                            WorkspaceKeys.parse(
                                    value.revision(),
                                    new String(value.content(), StandardCharsets.UTF_8)));
        } catch (IllegalArgumentException exception) {
            LOGGER.atWarning().log("Cannot accept workspace keys: %s", exception.getMessage());
        }
    }
}
