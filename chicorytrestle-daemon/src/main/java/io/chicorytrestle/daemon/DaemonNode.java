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

/**
 * Runs one entry instance within this process: the servers for callers and operators, the channel
 * to other entry instances and the controllers.
 */
public final class DaemonNode implements AutoCloseable {

    /** The logger of this class. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The period of stepping the controllers in milliseconds. */
    private static final long STEP_PERIOD_MILLIS = 25;

    /** The period of reading the workspace keys in milliseconds. */
    private static final long KEYS_READ_PERIOD_MILLIS = 3_000;

    /** The settings. */
    private final Settings settings;

    /** Supplies the current time. */
    private final MonotonicClock clock;

    /** The event loops that serve callers. */
    private final EventLoopPool callerLoops;

    /** The event loop of the control plane, in a pool of its own. */
    private final EventLoopPool controlLoops;

    /** The core components. */
    private final CoreComponents components;

    /** Steps all controllers. */
    private final Controller controller;

    /** The channel to the other entry instances. */
    private final PeerChannel peers;

    /** Limits the requests in flight. */
    private final RequestLimiter requestLimiter;

    /** Reads the platform's services. */
    private final PlatformClient platform;

    /** The server for callers. */
    private final CallerServer callers;

    /** The server for operators. */
    private final OperatorServer operators;

    /**
     * Creates a node that listens, but hasn't read anything from the platform yet.
     *
     * @param settings The settings.
     * @param callerLoops The event loops that serve callers.
     * @param controlLoops The event loop of the control plane, in a pool of its own.
     * @throws IOException If a server cannot listen on its port.
     */
    private DaemonNode(Settings settings, EventLoopPool callerLoops, EventLoopPool controlLoops)
            throws IOException {
        this.settings = settings;
        this.callerLoops = callerLoops;
        this.controlLoops = controlLoops;
        clock = MonotonicClock.start();
        platform = new PlatformClient(controlLoop(), settings.platform());
        InstanceIdentity self =
                new InstanceIdentity(
                        settings.instance().name(), settings.instance().zone(), clock.nowMillis());
        Blackboard blackboard = new Blackboard();
        Settings.Peers peerSettings = PeerChannelFactory.withAssignedPort(settings.peers());
        peers = PeerChannelFactory.create(self, peerSettings, blackboard, clock);
        components =
                CoreComponents.make(
                        settings,
                        self,
                        externalDependencies(blackboard, peerSettings.port()),
                        clock);
        controller = components.compoundController();
        peers.setObserver(components.membershipController());
        peers.start();
        requestLimiter = new RequestLimiter(settings.limits().requestsInFlight());
        MetricRegistry metrics = createMetrics();
        callers =
                CallerServer.start(
                        controlLoop(),
                        callerLoops,
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
     * @throws IOException If a server cannot listen on its port.
     */
    public static DaemonNode start(Settings settings) throws IOException {
        EventLoopPool callerLoops = EventLoopPool.start("callers", settings.callers().threads());
        EventLoopPool controlLoops = EventLoopPool.start("control", 1);
        DaemonNode node;
        try {
            node = new DaemonNode(settings, callerLoops, controlLoops);
        } catch (IOException exception) {
            callerLoops.close();
            controlLoops.close();
            throw exception;
        }
        node.startControl();
        LOGGER.atInfo().log(
                "Started entry instance %s with callers at port %d and operators at port %d",
                settings.instance().name(), node.callerPort(), node.operatorPort());
        return node;
    }

    /**
     * Returns the port that the server for callers listens on.
     *
     * @return The TCP port.
     */
    public int callerPort() {
        return callers.port();
    }

    /**
     * Returns the port that the server for operators listens on.
     *
     * @return The TCP port.
     */
    public int operatorPort() {
        return operators.port();
    }

    /**
     * Shuts down gracefully: refuses new requests, announces the leaving to the other entry
     * instances, waits for the requests in flight and hands over the outcomes of calls. The node
     * has to be closed afterwards.
     *
     * @return {@code true} if all requests ended within the deadline and the outcomes were handed
     *     over.
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
     * Returns the event loop of the control plane.
     *
     * @return The event loop.
     */
    private Eventloop controlLoop() {
        return controlLoops.all().get(0);
    }

    /**
     * Returns the dependencies that the core components need from this node.
     *
     * @param blackboard The state that the controllers share.
     * @param peerPort The TCP port of the peer channel.
     * @return The dependencies outside the core components.
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
     * Creates the metrics registry with the gauges of the process, the load and the peer traffic.
     *
     * @return The metrics registry.
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
        for (MessagePriority priority : MessagePriority.values()) {
            String name = priority.name().toLowerCase(Locale.ROOT);
            metrics.register(
                    "peers.sentBytes." + name,
                    (Gauge<Long>) () -> peers.traffic().sentBytes(priority));
            metrics.register(
                    "peers.receivedBytes." + name,
                    (Gauge<Long>) () -> peers.traffic().receivedBytes(priority));
        }
        metrics.register("peers.droppedMessages", (Gauge<Long>) peers::droppedMessages);
        return metrics;
    }

    /**
     * Returns whether this node can serve, with each condition.
     *
     * @return The conditions.
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

    /** Starts watching the platform's configuration and stepping the controllers. */
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

    /** Steps the controllers and schedules the next step, also after an exception. */
    private void stepControllers() {
        try {
            controller.step(clock.nowMillis());
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log(
                    "A controller failed; it is stepped again after the usual period");
        }
        controlLoop().delayBackground(STEP_PERIOD_MILLIS, this::stepControllers);
    }

    /**
     * Processes a new table of the configuration service.
     *
     * @param value The value with the table.
     */
    private void onTable(ConfigurationValue value) {
        components.tableGossip().receivePublished(value.content(), clock.nowMillis());
    }

    /**
     * Processes new workspace keys of the configuration service, and keeps the previous ones if
     * they are malformed.
     *
     * @param value The value with the keys.
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
            LOGGER.atWarning().log(
                    "Rejected workspace keys, the previous ones stay in force: %s",
                    exception.getMessage());
        }
    }
}
