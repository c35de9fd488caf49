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
import io.chicorytrestle.daemon.caller.CallerMetrics;
import io.chicorytrestle.daemon.caller.CallerServer;
import io.chicorytrestle.daemon.caller.CallerServices;
import io.chicorytrestle.daemon.caller.RequestCounter;
import io.chicorytrestle.daemon.caller.RequestIdentifiers;
import io.chicorytrestle.daemon.caller.WorkspaceKeys;
import io.chicorytrestle.daemon.endpoint.HttpEngineClient;
import io.chicorytrestle.daemon.endpoint.HttpServiceClient;
import io.chicorytrestle.daemon.loop.EventLoops;
import io.chicorytrestle.daemon.loop.SteadyClock;
import io.chicorytrestle.daemon.operator.OperatorServer;
import io.chicorytrestle.daemon.operator.OperatorServices;
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
    private static final long STEP_MILLIS = 25;

    /** The milliseconds between two reads of the workspaces' keys. */
    private static final long KEYS_MILLIS = 3_000;

    /** The settings. */
    private final Settings settings;

    /** Tells the present time. */
    private final SteadyClock clock;

    /** The event loops that serve callers. */
    private final EventLoops loops;

    /** The event loop of control, in a group of its own. */
    private final EventLoops control;

    /** The decisions. */
    private final FleetParts parts;

    /** What is stepped. */
    private final Controller controller;

    /** Reaches the other entry instances. */
    private final PeerChannel peers;

    /** Counts the requests in flight. */
    private final RequestCounter requests;

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
    private DaemonNode(Settings settings, EventLoops loops, EventLoops control) throws IOException {
        this.settings = settings;
        this.loops = loops;
        this.control = control;
        clock = SteadyClock.start();
        platform = new PlatformClient(loop(), settings.platform());
        InstanceIdentity self =
                new InstanceIdentity(
                        settings.instance().name(), settings.instance().zone(), clock.nowMillis());
        Blackboard blackboard = new Blackboard();
        Settings.Peers reached = PeerSetup.withPort(settings.peers());
        peers = PeerSetup.channel(self, reached, blackboard, clock);
        parts = FleetParts.make(settings, self, surroundings(blackboard, reached.port()), clock);
        controller = parts.controller();
        peers.observe(parts.membership());
        peers.start();
        requests = new RequestCounter(settings.limits().requestsInFlight());
        MetricRegistry metrics = metrics();
        callers =
                CallerServer.start(
                        loop(),
                        loops,
                        new CallerServices(
                                parts.blackboard(),
                                parts.chats(),
                                parts.calls(),
                                settings,
                                clock,
                                requests,
                                new RequestIdentifiers(self),
                                new CallerMetrics(metrics)));
        operators =
                OperatorServer.start(
                        loop(),
                        settings.operators(),
                        new OperatorServices(
                                self,
                                parts.blackboard(),
                                parts.tables(),
                                parts.dispatcher(),
                                parts.audit(),
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
        EventLoops loops = EventLoops.start("callers", settings.callers().threads());
        EventLoops control = EventLoops.start("control", 1);
        DaemonNode node;
        try {
            node = new DaemonNode(settings, loops, control);
        } catch (IOException exception) {
            loops.close();
            control.close();
            throw exception;
        }
        node.watch();
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
        requests.drain();
        NodeDrain drain =
                new NodeDrain(
                        loop(),
                        clock,
                        clock.nowMillis() + settings.drain().deadlineMillis(),
                        () -> requests.inFlight() + parts.inFlight());
        loop().execute(() -> parts.membership().leave(clock.nowMillis()));
        parts.chats().close();
        parts.calls().close();
        return callers.stopAccepting()
                .thenCompose(ignored -> drain.awaitIdle())
                .thenCompose(
                        idle ->
                                parts.calls()
                                        .handOver(clock.nowMillis())
                                        .handle((done, failure) -> idle && failure == null));
    }

    @Override
    public void close() {
        peers.close();
        loops.close();
        control.close();
    }

    /**
     * Returns the event loop of control.
     *
     * @return The event loop of control.
     */
    private Eventloop loop() {
        return control.all().get(0);
    }

    /**
     * Returns what the decisions reach.
     *
     * @param blackboard Holds what the controllers share.
     * @param peerPort The TCP port of the peer channel.
     * @return What the decisions reach.
     */
    private FleetParts.Surroundings surroundings(Blackboard blackboard, int peerPort) {
        return new FleetParts.Surroundings(
                blackboard,
                peers,
                peers,
                peerPort,
                platform::instances,
                HttpEngineClient.make(loops, settings.endpoints(), clock),
                HttpServiceClient.make(loops, settings.endpoints(), clock));
    }

    /**
     * Creates the metrics of this node.
     *
     * @return The metrics.
     */
    private MetricRegistry metrics() {
        MetricRegistry metrics = new MetricRegistry();
        metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
        metrics.registerAll("jvm.collector", new GarbageCollectorMetricSet());
        metrics.registerAll("jvm.threads", new ThreadStatesGaugeSet());
        metrics.register("load.requestsInFlight", (Gauge<Integer>) requests::inFlight);
        metrics.register("load.chatsInFlight", (Gauge<Integer>) parts.chats()::inFlight);
        metrics.register("load.callsInFlight", (Gauge<Integer>) parts.calls()::inFlight);
        for (MessagePriority urgency : MessagePriority.values()) {
            String name = urgency.name().toLowerCase(Locale.ROOT);
            metrics.register(
                    "peers.sentBytes." + name,
                    (Gauge<Long>) () -> peers.traffic().sentBytes(urgency));
            metrics.register(
                    "peers.receivedBytes." + name,
                    (Gauge<Long>) () -> peers.traffic().receivedBytes(urgency));
        }
        metrics.register("peers.droppedMessages", (Gauge<Long>) peers::dropped);
        return metrics;
    }

    /**
     * Returns whether this node can serve.
     *
     * @return Whether this node can serve.
     */
    private Readiness readiness() {
        return new Readiness(
                parts.blackboard().read(Topics.TABLE).version() > 0,
                parts.blackboard().read(WorkspaceKeys.TOPIC).revision() > 0,
                !parts.blackboard().read(Topics.MEMBERSHIP).endpoints().isEmpty(),
                parts.blackboard()
                        .read(Topics.MINIMUM_TABLE_VERSION)
                        .allows(parts.blackboard().read(Topics.TABLE)),
                requests.isDraining());
    }

    /** Starts to follow the platform and to step the controllers. */
    private void watch() {
        new ConfigurationWatch(
                        loop(),
                        platform,
                        new ConfigurationWatch.Schedule(
                                "table", settings.platform().watchMillis(), 0),
                        () -> parts.spread().shouldReadPlatform(clock.nowMillis()),
                        this::onTable)
                .start();
        new ConfigurationWatch(
                        loop(),
                        platform,
                        new ConfigurationWatch.Schedule("workspace-keys", 0, KEYS_MILLIS),
                        () -> true,
                        this::onKeys)
                .start();
        loop().execute(this::step);
    }

    /** Steps the controllers from time to time. */
    private void step() {
        try {
            controller.step(clock.nowMillis());
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("Cannot step controllers");
        }
        loop().delayBackground(STEP_MILLIS, this::step);
    }

    /**
     * Accepts a table.
     *
     * @param value The platform's value.
     */
    private void onTable(ConfigurationValue value) {
        parts.spread().receivePublished(value.content(), clock.nowMillis());
    }

    /**
     * Accepts the workspaces' keys.
     *
     * @param value The platform's value.
     */
    private void onKeys(ConfigurationValue value) {
        try {
            parts.blackboard()
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
