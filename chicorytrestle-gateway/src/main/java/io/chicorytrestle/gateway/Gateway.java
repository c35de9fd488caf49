package io.chicorytrestle.gateway;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.limit.RetryAllowance;
import io.chicorytrestle.core.placement.PlacementSettings;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.process.SignalHandlers;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.exchange.GatewayContext;
import io.chicorytrestle.gateway.exchange.RequestHandler;
import io.chicorytrestle.gateway.fleet.FleetChannel;
import io.chicorytrestle.gateway.fleet.FleetState;
import io.chicorytrestle.gateway.fleet.PeerAddress;
import io.chicorytrestle.gateway.fleet.TableCodec;
import io.chicorytrestle.gateway.front.FrontHttpServer;
import io.chicorytrestle.gateway.front.HttpRequestHandler;
import io.chicorytrestle.gateway.link.Addresses;
import io.chicorytrestle.gateway.link.LocalResponses;
import io.chicorytrestle.gateway.operations.AsyncLineWriter;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.LogFields;
import io.chicorytrestle.gateway.settings.GatewaySettings;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Assembles and runs one entry instance: callers' front, readiness, metrics, and one event loop
 * that owns all state.
 */
public final class Gateway {

    /** Reports start and stop. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The time in milliseconds between two steps of the controllers. */
    private static final long CONTROLLER_INTERVAL_MILLIS = 250;

    /**
     * The time in milliseconds between two beats: several within the time in which a leaving
     * endpoint may still be used, at a few kilobytes a second.
     */
    private static final long HEARTBEAT_INTERVAL_MILLIS = 400;

    /**
     * The part of the heap that bodies of requests may take; the same is copied when they are sent.
     */
    private static final int HEAP_TO_BODY_RATIO = 4;

    /** The share of the allowed multiple of the mean load that is used, since counts are late. */
    private static final double LOAD_MULTIPLE_SHARE = 0.8;

    /** The requests beyond the multiple of the mean load that an endpoint may carry. */
    private static final double LOAD_SLACK = 2;

    /** The share of the time in which a leaving endpoint may be used that vanished ones may. */
    private static final double VANISHED_ENDPOINT_SHARE = 0.7;

    /**
     * The time in milliseconds after the request to end in which callers may still come: the
     * balancer asks every second and takes an instance out after two misses.
     */
    private static final long BALANCER_REMOVAL_MILLIS = 2_600;

    /** The share of the time until the forced end after which the process ends by itself. */
    private static final double GRACE_PERIOD_SHARE = 0.9;

    /** The settings. */
    private final GatewaySettings settings;

    /** The event loop. */
    private final Eventloop reactor;

    /** The figures. */
    private final GatewayMetrics metrics = new GatewayMetrics();

    /** What this instance believes. */
    private final Blackboard blackboard = new Blackboard();

    /** What all requests share. */
    private final GatewayContext context;

    /** What this instance believes of the fleet. */
    private final FleetState fleetState;

    /** Exchanges beats with other instances. */
    private final FleetChannel fleet;

    /** Admits requests. */
    private final RequestHandler requestHandler;

    /** Serves callers. */
    private final FrontHttpServer front;

    /** Tells readiness. */
    private final FrontHttpServer ready;

    /** Shows the figures. */
    private final FrontHttpServer metricsServer;

    /** Decide at short intervals. */
    private final List<Controller> controllers = new ArrayList<>();

    /** Whether the process was asked to end. */
    private boolean isShuttingDown;

    /** The time in milliseconds at which the process was asked to end. */
    private long shutdownStartedMillis;

    /**
     * Creates a new gateway.
     *
     * @param settings The settings.
     * @param metricsPort The port of the metrics.
     * @param dialect Translates headers.
     * @param codec Reads routing tables as they are published.
     */
    public Gateway(
            GatewaySettings settings, int metricsPort, HeaderDialect dialect, TableCodec codec) {
        this.settings = settings;
        reactor =
                Eventloop.builder()
                        .withTimeProvider(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
                        .withCurrentThread()
                        .build();
        reactor.keepAlive(true);
        context =
                new GatewayContext(
                        reactor,
                        blackboard,
                        dialect,
                        metrics,
                        placementSettings(),
                        new RetryAllowance(settings.retryRatio(), settings.retrySlack()));
        fleetState =
                new FleetState(
                        blackboard,
                        (long) (settings.drainMillis() * VANISHED_ENDPOINT_SHARE),
                        context.endpointConnections()::closeIdle);
        Supplier<RequestLimits> limits = () -> context.table().limits();
        requestHandler = new RequestHandler(context);
        blackboard.addListener(RouteTopics.ROUTING_TABLE, table -> requestHandler.servePending());
        blackboard.addListener(PlacementTopics.SERVING, view -> requestHandler.servePending());
        front = front(settings.callerAddress(), requestHandler, limits);
        ready = front(settings.readyAddress(), text(this::readiness), () -> RequestLimits.DEFAULT);
        InetSocketAddress peerAddress = Addresses.parse(settings.peerAddress());
        metricsServer =
                front(
                        peerAddress.getAddress().getHostAddress() + ':' + metricsPort,
                        text(
                                () ->
                                        LocalResponses.plainText(
                                                HttpResponseStatus.OK, metrics.render())),
                        () -> RequestLimits.DEFAULT);
        fleet =
                new FleetChannel(
                        reactor,
                        new PeerAddress(
                                settings.instanceName(), settings.peerAddress(), settings.zone()),
                        settings.seeds(),
                        fleetState,
                        context.observations(),
                        codec);
        controllers.add(fleetState);
        controllers.add(context::step);
        controllers.add(nowMillis -> context.budgets().recordInstanceCount(fleet.peerCount() + 1));
        registerGauges();
    }

    /**
     * Returns what bounds the choice of an endpoint.
     *
     * @return The bounds, which are stricter than what is allowed, since counts are late.
     */
    private PlacementSettings placementSettings() {
        return new PlacementSettings(
                settings.zone(),
                Math.max(1, settings.loadMultiple() * LOAD_MULTIPLE_SHARE),
                LOAD_SLACK);
    }

    /** Shows figures that are read when asked for. */
    private void registerGauges() {
        metrics.gauge("peers", fleet::peerCount);
        metrics.gauge("table_version", fleetState::tableVersion);
        metrics.gauge("caller_connections", front::connections);
        metrics.gauge("log_lines_dropped", AsyncLineWriter.STANDARD_OUTPUT::droppedLines);
    }

    /**
     * Creates a front.
     *
     * @param address The address.
     * @param handler Takes requests.
     * @param limits Tells the bounds of requests.
     * @return The front.
     */
    private FrontHttpServer front(
            String address, HttpRequestHandler handler, Supplier<RequestLimits> limits) {
        return new FrontHttpServer(
                reactor,
                Addresses.parse(address),
                handler,
                limits,
                (status, reason) ->
                        LOGGER.atInfo()
                                .with(LogFields.STATUS, status.code())
                                .with(LogFields.REASON, reason)
                                .log("request_malformed"),
                Runtime.getRuntime().maxMemory() / HEAP_TO_BODY_RATIO);
    }

    /**
     * Returns a handler that answers each request alike.
     *
     * @param answer Makes the answer.
     * @return The handler.
     */
    private static HttpRequestHandler text(Supplier<FullHttpResponse> answer) {
        return (head, body, caller) -> {
            caller.send(answer.get());
            return () -> {};
        };
    }

    /**
     * Tells whether new callers should come.
     *
     * @return The answer.
     */
    private FullHttpResponse readiness() {
        if (isShuttingDown) {
            return LocalResponses.plainText(HttpResponseStatus.SERVICE_UNAVAILABLE, "ending");
        }
        return context.table().isPublished()
                ? LocalResponses.plainText(HttpResponseStatus.OK, "ready")
                : LocalResponses.plainText(
                        HttpResponseStatus.SERVICE_UNAVAILABLE, "no routing table");
    }

    /**
     * Returns the event loop.
     *
     * @return The event loop.
     */
    public NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the figures.
     *
     * @return The figures.
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /**
     * Returns what this instance believes of the fleet.
     *
     * @return What this instance believes of the fleet.
     */
    public FleetState fleetState() {
        return fleetState;
    }

    /**
     * Returns the exchange with other instances.
     *
     * @return The exchange with other instances.
     */
    public FleetChannel fleet() {
        return fleet;
    }

    /**
     * Adds a controller that is stepped with the others.
     *
     * @param controller The controller.
     */
    public void addController(Controller controller) {
        controllers.add(controller);
    }

    /**
     * Serves until the process is asked to end and nothing is left to do.
     *
     * @throws IOException If an address cannot be bound.
     */
    public void run() throws IOException {
        front.listen();
        ready.listen();
        metricsServer.listen();
        fleet.listen();
        SignalHandlers.install(SignalHandlers.TERMINATION_SIGNALS, this::stop);
        LOGGER.atInfo().with(LogFields.PEER, settings.instanceName()).log("instance_started");
        stepControllers();
        sendHeartbeat();
        reactor.run();
    }

    /** Asks the instance to end as a signal does. Any thread may call it. */
    public void stop() {
        reactor.execute(this::beginShutdown);
    }

    /**
     * Takes settings that changed. Addresses and the name stay as they are until the next start.
     *
     * @param changed The settings.
     */
    public void reload(GatewaySettings changed) {
        fleet.seeds(changed.seeds());
        LOGGER.atInfo().with(LogFields.COUNT, changed.seeds().size()).log("settings_reloaded");
    }

    /** Starts to end: callers are sent elsewhere, and what is under way is completed. */
    private void beginShutdown() {
        if (isShuttingDown) {
            return;
        }
        isShuttingDown = true;
        shutdownStartedMillis = reactor.currentTimeMillis();
        front.drain();
        fleet.announceShutdown();
        LOGGER.atInfo().with(LogFields.COUNT, (int) front.busyConnections()).log("instance_ending");
    }

    /** Sends a beat and plans the next one. */
    private void sendHeartbeat() {
        if (!isShuttingDown) {
            fleet.sendHeartbeat(reactor.currentTimeMillis());
            reactor.delayBackground(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeat);
        }
    }

    /** Steps the controllers and plans the next step. */
    private void stepControllers() {
        long nowMillis = reactor.currentTimeMillis();
        controllers.forEach(controller -> controller.step(nowMillis));
        if (isShuttingDown && nowMillis - shutdownStartedMillis >= BALANCER_REMOVAL_MILLIS) {
            requestHandler.refuseNewRequests();
            front.closeIdle();
        }
        if (isShuttingDown && canExit(nowMillis)) {
            LOGGER.atInfo()
                    .with(LogFields.COUNT, (int) front.busyConnections())
                    .log("instance_ended");
            front.close();
            reactor.breakEventloop();
            return;
        }
        reactor.delayBackground(CONTROLLER_INTERVAL_MILLIS, this::stepControllers);
    }

    /**
     * Returns {@code true} if the process may end.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if nothing is under way, or the forced end is near.
     */
    private boolean canExit(long nowMillis) {
        long elapsedMillis = nowMillis - shutdownStartedMillis;
        return elapsedMillis >= settings.graceMillis() * GRACE_PERIOD_SHARE
                || (elapsedMillis >= BALANCER_REMOVAL_MILLIS && front.busyConnections() == 0);
    }
}
