package io.chicorytrestle.gateway;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.limit.RetryAllowance;
import io.chicorytrestle.core.placement.ColdStartBound;
import io.chicorytrestle.core.placement.ColdStartGate;
import io.chicorytrestle.core.placement.PlacementSettings;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.process.SignalHandlers;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.exchange.ColdStarts;
import io.chicorytrestle.gateway.exchange.GatewayContext;
import io.chicorytrestle.gateway.exchange.LeavingEndpoints;
import io.chicorytrestle.gateway.exchange.RequestHandler;
import io.chicorytrestle.gateway.fleet.FleetChannel;
import io.chicorytrestle.gateway.fleet.FleetState;
import io.chicorytrestle.gateway.fleet.PeerAddress;
import io.chicorytrestle.gateway.fleet.TableCodec;
import io.chicorytrestle.gateway.front.CallerLimits;
import io.chicorytrestle.gateway.front.FrontHttpServer;
import io.chicorytrestle.gateway.front.HttpRequestHandler;
import io.chicorytrestle.gateway.link.Addresses;
import io.chicorytrestle.gateway.link.EventLoopLag;
import io.chicorytrestle.gateway.link.LocalResponses;
import io.chicorytrestle.gateway.operations.AsyncLineWriter;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.LogFields;
import io.chicorytrestle.gateway.operations.UnexpectedErrorReporter;
import io.chicorytrestle.gateway.settings.GatewaySettings;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Assembles and runs one entry instance: the HTTP servers for callers, readiness and metrics, the
 * fleet channel, and the event loop thread that owns all mutable state.
 */
public final class Gateway {

    /** Logs start, shutdown and reloads, and rejected malformed requests. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The interval in milliseconds at which the controllers run. */
    private static final long CONTROLLER_INTERVAL_MILLIS = 250;

    /**
     * The interval in milliseconds between two heartbeats. Several fit within the time in which a
     * leaving endpoint may still be used, and they cost a few kilobytes a second.
     */
    private static final long HEARTBEAT_INTERVAL_MILLIS = 400;

    /**
     * The share of the allowed multiple of the mean load that is used, because load counts arrive
     * with a delay.
     */
    private static final double LOAD_MULTIPLE_SHARE = 0.8;

    /** The number of requests by which an endpoint may exceed the multiple of the mean load. */
    private static final double LOAD_SLACK = 2;

    /**
     * The share of the drain time for which an endpoint that vanished from the store may still
     * serve as a last resort.
     */
    private static final double VANISHED_ENDPOINT_SHARE = 0.7;

    /**
     * The time in milliseconds after a shutdown request during which new requests are still
     * accepted: the load balancer checks readiness every second and removes an instance after two
     * failed checks.
     */
    private static final long BALANCER_REMOVAL_MILLIS = 2_600;

    /**
     * The longest time in milliseconds for which a starting instance leaves callers' connections
     * unaccepted: an instance that knows no routing table by then may be cut off from the store,
     * and refuses.
     */
    private static final long MAXIMUM_START_PAUSE_MILLIS = 2_000;

    /**
     * The share of the grace period before the process is killed after which it exits on its own.
     */
    private static final double GRACE_PERIOD_SHARE = 0.9;

    /** The settings at the start; later changes are applied by {@link #reload}. */
    private final GatewaySettings settings;

    /** The event loop, whose clock is monotonic. */
    private final Eventloop reactor;

    /** Measures how long the event loop leaves arrived bytes unread. */
    private final EventLoopLag eventLoopLag = new EventLoopLag();

    /** The metrics of this instance. */
    private final GatewayMetrics metrics = new GatewayMetrics();

    /** The current routing table and the view of endpoints. */
    private final Blackboard blackboard = new Blackboard();

    /** The state that all requests share. */
    private final GatewayContext context;

    /** The routing table and the endpoints as known to this instance. */
    private final FleetState fleetState;

    /** Exchanges heartbeats and endpoint changes with other instances. */
    private final FleetChannel fleet;

    /** Routes the requests of callers. */
    private final RequestHandler requestHandler;

    /** Accepts connections of callers. */
    private final FrontHttpServer callerServer;

    /** Serves the readiness check of the load balancer. */
    private final FrontHttpServer ready;

    /** Serves the metrics as text. */
    private final FrontHttpServer metricsServer;

    /** The controllers that run at each interval. */
    private final Controllers controllers = new Controllers(metrics);

    /** Whether a shutdown was requested. */
    private boolean isShuttingDown;

    /** The time in milliseconds at which the shutdown was requested; meaningless before. */
    private long shutdownStartedMillis;

    /**
     * Creates a gateway whose event loop belongs to the calling thread.
     *
     * @param settings The names, addresses and limits of this instance.
     * @param metricsPort The port of the metrics, which are served on the address for peers.
     * @param dialect Translates HTTP headers.
     * @param codec Decodes published routing tables.
     */
    public Gateway(
            GatewaySettings settings, int metricsPort, HeaderDialect dialect, TableCodec codec) {
        this.settings = settings;
        reactor =
                Eventloop.builder()
                        .withTimeProvider(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
                        .withInspector(eventLoopLag)
                        .withFatalErrorHandler(new UnexpectedErrorReporter(metrics))
                        .withCurrentThread()
                        .build();
        reactor.keepAlive(true);
        context =
                new GatewayContext(
                        reactor,
                        eventLoopLag,
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
        context.setLeavingEndpoints(new LeavingEndpoints.ForFleet(fleetState));
        Supplier<RequestLimits> limits = () -> context.table().limits();
        requestHandler = new RequestHandler(context, settings.zoneRegions());
        blackboard.addListener(RouteTopics.ROUTING_TABLE, context::recordTable);
        blackboard.addListener(RouteTopics.ROUTING_TABLE, table -> handleNewState());
        blackboard.addListener(PlacementTopics.SERVING, view -> handleNewState());
        blackboard.addListener(PlacementTopics.EVACUATIONS, zones -> handleNewState());
        CallerLimits callerLimits = CallerLimits.forCallers(settings.machineLimits(), metrics);
        controllers.add(callerLimits.held()::step);
        callerServer = server(settings.callerAddress(), requestHandler, limits, callerLimits);
        ready = createReadyServer();
        metricsServer = createMetricsServer(metricsPort);
        fleet =
                new FleetChannel(
                        reactor,
                        new PeerAddress(
                                settings.instanceName(), settings.peerAddress(), settings.zone()),
                        settings.seeds(),
                        fleetState,
                        context.observations(),
                        codec);
        context.setStreams(fleetState.versions(), fleet.streams(), fleetState::readHistory);
        registerControllers();
        settings.coldStartBound().ifPresent(this::limitColdStarts);
        registerGauges();
    }

    /**
     * Limits the requests to endpoints that are cold.
     *
     * @param bound The bound for all instances together.
     */
    private void limitColdStarts(ColdStartBound bound) {
        ColdStartGate gate =
                new ColdStartGate(
                        settings.instanceName(),
                        bound,
                        fleetState.coldEndpoints(),
                        Set.of(settings.peerAddress()).containsAll(settings.seeds()),
                        context.nowMillis());
        ColdStarts.ForGate coldStarts =
                new ColdStarts.ForGate(context, gate, fleetState.coldEndpoints(), metrics);
        context.setColdStarts(coldStarts);
        controllers.add(nowMillis -> coldStarts.step(fleet.peerNames(), nowMillis));
    }

    /** Serves callers once this instance knows whether their requests can be routed. */
    private void handleNewState() {
        if (!requestHandler.isAwaitingState()) {
            callerServer.resume();
            requestHandler.servePending();
        }
    }

    /** Registers the controllers that run at each interval. */
    private void registerControllers() {
        controllers.add(fleetState);
        controllers.add(context::step);
        controllers.add(nowMillis -> context.budgets().recordInstanceCount(fleet.peerCount() + 1));
    }

    /**
     * Returns the bounds for the choice of an endpoint.
     *
     * @return The bounds, which are stricter than what is allowed because load counts arrive with a
     *     delay.
     */
    private PlacementSettings placementSettings() {
        return new PlacementSettings(
                settings.zone(),
                Math.max(1, settings.loadMultiple() * LOAD_MULTIPLE_SHARE),
                LOAD_SLACK,
                settings.instanceName().hashCode());
    }

    /** Registers the gauges that are evaluated when the metrics are read. */
    private void registerGauges() {
        metrics.gauge("peers", fleet::peerCount);
        metrics.gauge("table_version", fleetState::tableVersion);
        metrics.gauge("event_loop_lag_ms", eventLoopLag::lagMillis);
        metrics.gauge("caller_connections", callerServer::connections);
        metrics.gauge("load_spread_percent", context::loadSpreadPercent);
        metrics.gauge("log_lines_dropped", AsyncLineWriter.STANDARD_OUTPUT::droppedLines);
    }

    /**
     * Creates an HTTP server on the event loop.
     *
     * @param address The address to bind, as IP number and port.
     * @param handler Handles the requests.
     * @param limits Supplies the limits for the size and duration of requests.
     * @param callerLimits The limits over all connections.
     * @return The server, which does not listen yet.
     */
    private FrontHttpServer server(
            String address,
            HttpRequestHandler handler,
            Supplier<RequestLimits> limits,
            CallerLimits callerLimits) {
        return new FrontHttpServer(
                reactor,
                Addresses.parse(address),
                eventLoopLag,
                handler,
                limits,
                (status, reason) ->
                        LOGGER.atInfo()
                                .with(LogFields.STATUS, status.code())
                                .with(LogFields.REASON, reason)
                                .log("request_malformed"),
                callerLimits);
    }

    /**
     * Creates the server for the readiness check.
     *
     * @return The server, which does not listen yet.
     */
    private FrontHttpServer createReadyServer() {
        return server(
                settings.readyAddress(),
                text(this::readiness),
                () -> RequestLimits.DEFAULT,
                CallerLimits.forOperators());
    }

    /**
     * Creates the server for the metrics, on the address for peers.
     *
     * @param port The port.
     * @return The server, which does not listen yet.
     */
    private FrontHttpServer createMetricsServer(int port) {
        InetSocketAddress peerAddress = Addresses.parse(settings.peerAddress());
        return server(
                peerAddress.getAddress().getHostAddress() + ':' + port,
                text(() -> LocalResponses.plainText(HttpResponseStatus.OK, metrics.render())),
                () -> RequestLimits.DEFAULT,
                CallerLimits.forOperators());
    }

    /**
     * Returns a handler that ignores the request and sends a generated response.
     *
     * @param response Creates the response.
     * @return The handler.
     */
    private static HttpRequestHandler text(Supplier<FullHttpResponse> response) {
        return (head, body, arrivedMillis, caller) -> {
            caller.send(response.get());
            return () -> {};
        };
    }

    /**
     * Returns the response to a readiness check.
     *
     * @return Status 200 once a routing table is known; status 503 before, and again during
     *     shutdown.
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
     * Returns the event loop, on whose thread all state must be accessed.
     *
     * @return The event loop.
     */
    public NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the metrics.
     *
     * @return The metrics, to which other components add theirs.
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the state of the fleet as known to this instance.
     *
     * @return The state, which the store's reader updates.
     */
    public FleetState fleetState() {
        return fleetState;
    }

    /**
     * Returns the channel to other instances.
     *
     * @return The channel to other instances.
     */
    public FleetChannel fleet() {
        return fleet;
    }

    /**
     * Adds a controller, which runs after those added before.
     *
     * @param controller The controller.
     */
    public void addController(Controller controller) {
        controllers.add(controller);
    }

    /**
     * Listens and serves until the shutdown is complete.
     *
     * @throws IOException If an address cannot be bound.
     */
    public void run() throws IOException {
        if (requestHandler.isAwaitingState()) {
            callerServer.pause();
            reactor.delayBackground(MAXIMUM_START_PAUSE_MILLIS, callerServer::resume);
        }
        callerServer.listen();
        ready.listen();
        metricsServer.listen();
        fleet.listen();
        SignalHandlers.install(SignalHandlers.TERMINATION_SIGNALS, this::stop);
        LOGGER.atInfo().with(LogFields.PEER, settings.instanceName()).log("instance_started");
        stepControllers();
        sendHeartbeat();
        reactor.run();
    }

    /** Requests a shutdown, as a termination signal does. Any thread may call it. */
    public void stop() {
        reactor.execute(this::beginShutdown);
    }

    /**
     * Applies changed settings. Only the seeds take effect; addresses and the name stay as they are
     * until the next start.
     *
     * @param changed The new settings.
     */
    public void reload(GatewaySettings changed) {
        fleet.replaceSeeds(changed.seeds());
        LOGGER.atInfo().with(LogFields.COUNT, changed.seeds().size()).log("settings_reloaded");
    }

    /**
     * Begins the shutdown: readiness checks fail, peers are notified, and requests under way are
     * completed.
     */
    private void beginShutdown() {
        if (isShuttingDown) {
            return;
        }
        isShuttingDown = true;
        shutdownStartedMillis = reactor.currentTimeMillis();
        callerServer.drain();
        fleet.announceShutdown();
        LOGGER.atInfo()
                .with(LogFields.COUNT, (int) callerServer.busyConnections())
                .log("instance_ending");
    }

    /** Sends a heartbeat and schedules the next one, until the shutdown begins. */
    private void sendHeartbeat() {
        if (!isShuttingDown) {
            // Scheduled first, so that an error while sending does not end the heartbeats.
            // Acknowledgements that have arrived must be read before a connection counts as silent.
            EventLoopLag.delayUntilInputIsHandled(
                    reactor, HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeat);
            fleet.sendHeartbeat(reactor.currentTimeMillis());
        }
    }

    /** Runs the controllers and the steps of a shutdown, and schedules the next run. */
    private void stepControllers() {
        // Scheduled first, so that an error in a controller does not end the steps that follow.
        EventLoopLag.delayUntilInputIsHandled(
                reactor, CONTROLLER_INTERVAL_MILLIS, this::stepControllers);
        long nowMillis = reactor.currentTimeMillis();
        controllers.step(nowMillis);
        if (isShuttingDown && nowMillis - shutdownStartedMillis >= BALANCER_REMOVAL_MILLIS) {
            requestHandler.refuseNewRequests();
            callerServer.closeIdle();
        }
        if (isShuttingDown && canExit(nowMillis)) {
            LOGGER.atInfo()
                    .with(LogFields.COUNT, (int) callerServer.busyConnections())
                    .log("instance_ended");
            callerServer.close();
            reactor.breakEventloop();
        }
    }

    /**
     * Returns {@code true} if the process may exit.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if no connection is busy, or the end of the grace period is near.
     */
    private boolean canExit(long nowMillis) {
        long elapsedMillis = nowMillis - shutdownStartedMillis;
        return elapsedMillis >= settings.graceMillis() * GRACE_PERIOD_SHARE
                || (elapsedMillis >= BALANCER_REMOVAL_MILLIS
                        && callerServer.busyConnections() == 0);
    }
}
