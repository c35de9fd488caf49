package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CompileTimeConstant;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.limit.RetryAllowance;
import io.chicorytrestle.core.limit.RetryBudgets;
import io.chicorytrestle.core.placement.EndpointBackoffs;
import io.chicorytrestle.core.placement.EndpointHealth;
import io.chicorytrestle.core.placement.EndpointPicker;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.LoadSpread;
import io.chicorytrestle.core.placement.LoadTracker;
import io.chicorytrestle.core.placement.OutcomeTracker;
import io.chicorytrestle.core.placement.PlacementSettings;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.PromptPartTracker;
import io.chicorytrestle.core.placement.ServiceVersions;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.placement.ZoneReachability;
import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.poison.PartCrashTracker;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.core.stream.StreamOrigins;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.endpoint.EndpointConnectionPool;
import io.chicorytrestle.gateway.fleet.ListingHistory;
import io.chicorytrestle.gateway.fleet.PeerObservations;
import io.chicorytrestle.gateway.fleet.PeerStreams;
import io.chicorytrestle.gateway.link.EventLoopLag;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.LogFields;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Holds the state that all requests of an instance share. It is confined to the event loop's
 * thread.
 */
public final class GatewayContext {

    /** Logs changes of the unreachable zones. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The event loop. */
    private final NioReactor reactor;

    /** Tells for how long bytes that are read now may have been waiting. */
    private final EventLoopLag eventLoopLag;

    /** The current routing table and the view of endpoints. */
    private final Blackboard blackboard;

    /** Translates HTTP headers. */
    private final HeaderDialect dialect;

    /** Opens and reuses connections to endpoints. */
    private final EndpointConnectionPool endpointConnections;

    /** The metrics of this instance. */
    private final GatewayMetrics metrics;

    /** Estimates the requests in flight at each endpoint. */
    private final LoadTracker loads = new LoadTracker();

    /** Evaluates endpoints by the results of connections to them. */
    private final EndpointHealth connectionHealth = new EndpointHealth();

    /** Evaluates endpoints by the statuses of their responses. */
    private final OutcomeTracker outcomes = new OutcomeTracker();

    /** Detects unreachable zones. */
    private final ZoneReachability zoneReachability;

    /** Records which endpoints have cached which prompt parts. */
    private final PromptPartTracker promptHolders = new PromptPartTracker();

    /** Keeps the times for which endpoints want no requests. */
    private final EndpointBackoffs backoffs = new EndpointBackoffs();

    /** Chooses endpoints. */
    private final EndpointPicker picker;

    /** Counts the crashes of endpoints by the content of the requests they ran. */
    private final CrashTracker crashes = new CrashTracker();

    /** Counts the crashes of endpoints by the prompt parts of the requests they ran. */
    private final PartCrashTracker partCrashes = new PartCrashTracker();

    /** Limits the retries for each service. */
    private final RetryBudgets budgets;

    /** Knows which endpoints are leaving. */
    private LeavingEndpoints leavingEndpoints = LeavingEndpoints.NoOp.INSTANCE;

    /** The origins of the streams that callers may resume. */
    private final StreamOrigins streamOrigins = new StreamOrigins();

    /** Finds the origins of the streams that callers resume. */
    private StreamTracker streams;

    /** Decides which requests may be sent to cold endpoints. */
    private ColdStarts coldStarts = ColdStarts.NoOp.INSTANCE;

    /** The requests under way. */
    private final Set<Exchange> exchanges = new HashSet<>();

    /** The prompt parts in quarantine when they were last logged. */
    private Set<String> lastQuarantinedParts = Set.of();

    /** The unreachable zones at the last step, for logging changes. */
    private Set<String> lastUnreachableZones = Set.of();

    /**
     * Creates a context without requests.
     *
     * @param reactor The event loop.
     * @param eventLoopLag Tells for how long bytes that are read now may have been waiting.
     * @param blackboard Holds the routing table and the view of endpoints.
     * @param dialect Translates HTTP headers.
     * @param metrics The metrics to which those of the context are added.
     * @param placementSettings The bounds for the choice of an endpoint, and the zone of this
     *     instance.
     * @param retryAllowance Divides the fleet's allowance of retries among the instances.
     */
    public GatewayContext(
            NioReactor reactor,
            EventLoopLag eventLoopLag,
            Blackboard blackboard,
            HeaderDialect dialect,
            GatewayMetrics metrics,
            PlacementSettings placementSettings,
            RetryAllowance retryAllowance) {
        this.reactor = reactor;
        this.eventLoopLag = eventLoopLag;
        this.blackboard = blackboard;
        this.dialect = dialect;
        this.metrics = metrics;
        streams =
                new StreamTracker(
                        streamOrigins,
                        new ServiceVersions(),
                        PeerStreams.NoOp.INSTANCE,
                        ListingHistory.NoOp.INSTANCE,
                        metrics,
                        this::nowMillis);
        budgets = new RetryBudgets(retryAllowance);
        zoneReachability = new ZoneReachability(placementSettings.zone());
        endpointConnections = new EndpointConnectionPool(reactor, dialect, metrics);
        picker =
                new EndpointPicker(
                        placementSettings,
                        loads,
                        connectionHealth,
                        outcomes,
                        zoneReachability,
                        promptHolders,
                        backoffs);
    }

    /**
     * Returns the event loop.
     *
     * @return The event loop, for timers.
     */
    NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the current time.
     *
     * @return The time of the event loop's monotonic clock in milliseconds, read anew, since the
     *     event loop's own copy is as old as the work that it is doing.
     */
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Returns the measure of the event loop's lag.
     *
     * @return The lag of the event loop.
     */
    EventLoopLag eventLoopLag() {
        return eventLoopLag;
    }

    /**
     * Returns the current routing table.
     *
     * @return The routing table, unpublished before the first one was received.
     */
    public RoutingTable table() {
        return blackboard.read(RouteTopics.ROUTING_TABLE);
    }

    /**
     * Records a routing table that is in force from now on.
     *
     * @param table The routing table.
     */
    public void recordTable(RoutingTable table) {
        streams.recordTable(table);
    }

    /**
     * Returns the known endpoints.
     *
     * @return The view of endpoints, empty before the first ones were received.
     */
    ServingView endpoints() {
        return blackboard.read(PlacementTopics.SERVING);
    }

    /**
     * Returns the zones that the operator has evacuated.
     *
     * @return The evacuated zones, unknown before the first set was received.
     */
    Evacuations evacuations() {
        return blackboard.read(PlacementTopics.EVACUATIONS);
    }

    /**
     * Sets what knows which endpoints are leaving.
     *
     * @param leavingEndpoints Receives what endpoints state of themselves.
     */
    public void setLeavingEndpoints(LeavingEndpoints leavingEndpoints) {
        this.leavingEndpoints = leavingEndpoints;
    }

    /**
     * Returns what knows which endpoints are leaving.
     *
     * @return The leaving endpoints.
     */
    LeavingEndpoints leavingEndpoints() {
        return leavingEndpoints;
    }

    /**
     * Sets what finds the origins of the streams that callers resume.
     *
     * @param versions The versions of each service, as listed.
     * @param peers The other instances.
     * @param history What was listed before this instance observed the listing.
     */
    public void setStreams(ServiceVersions versions, PeerStreams peers, ListingHistory history) {
        streams =
                new StreamTracker(
                        streamOrigins, versions, peers, history, metrics, this::nowMillis);
    }

    /**
     * Returns what finds the origins of the streams that callers resume.
     *
     * @return The tracker of streams.
     */
    StreamTracker streams() {
        return streams;
    }

    /**
     * Sets what decides which requests may be sent to cold endpoints.
     *
     * @param coldStarts Decides on each endpoint.
     */
    public void setColdStarts(ColdStarts coldStarts) {
        this.coldStarts = coldStarts;
    }

    /**
     * Returns what decides which requests may be sent to cold endpoints.
     *
     * @return Decides on each endpoint.
     */
    ColdStarts coldStarts() {
        return coldStarts;
    }

    /**
     * Returns the detector of unreachable zones.
     *
     * @return The detector, to which every sign of life of an endpoint is reported.
     */
    ZoneReachability zoneReachability() {
        return zoneReachability;
    }

    /**
     * Adds a request that begins.
     *
     * @param exchange The request.
     */
    void register(Exchange exchange) {
        exchanges.add(exchange);
    }

    /**
     * Removes a request that ended.
     *
     * @param exchange The request.
     */
    void unregister(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /**
     * Logs a set if it changed.
     *
     * @param event The name of the event that is logged.
     * @param previous The set at the last step.
     * @param current The set now.
     * @return The set now.
     */
    private static Set<String> logIfChanged(
            @CompileTimeConstant String event, Set<String> previous, Set<String> current) {
        if (!current.equals(previous)) {
            LOGGER.atWarning()
                    .with(LogFields.OUTCOME, current.toString())
                    .with(LogFields.REASON, previous.toString())
                    .log(event);
        }
        return current;
    }

    /**
     * Removes expired state, and moves requests that may be repeated away from unreachable zones.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void step(long nowMillis) {
        loads.removeExpired(nowMillis);
        connectionHealth.removeExpired(nowMillis);
        backoffs.removeExpired(nowMillis);
        outcomes.removeNegligible(nowMillis);
        crashes.removeExpired(nowMillis);
        partCrashes.removeExpired(nowMillis);
        lastQuarantinedParts =
                logIfChanged(
                        "quarantined_parts_changed",
                        lastQuarantinedParts,
                        partCrashes.quarantined(nowMillis));
        endpointConnections.closeExpired();
        Set<String> unreachable = zoneReachability.unreachable(nowMillis);
        lastUnreachableZones =
                logIfChanged("unreachable_zones_changed", lastUnreachableZones, unreachable);
        if (!unreachable.isEmpty()) {
            List.copyOf(exchanges).forEach(exchange -> exchange.abandonZones(unreachable));
            endpointConnections.closeIdleInZones(unreachable);
        }
    }

    /**
     * Returns the translator of HTTP headers.
     *
     * @return The translator of HTTP headers.
     */
    HeaderDialect dialect() {
        return dialect;
    }

    /**
     * Returns the connections to endpoints.
     *
     * @return The pool of connections.
     */
    public EndpointConnectionPool endpointConnections() {
        return endpointConnections;
    }

    /**
     * Returns the metrics.
     *
     * @return The metrics of this instance.
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the estimates of load.
     *
     * @return The requests in flight by endpoint.
     */
    LoadTracker loads() {
        return loads;
    }

    /**
     * Returns how unevenly the estimated load is spread over the endpoints.
     *
     * @return The highest load in percent of the mean of its service, over all services.
     */
    public long loadSpreadPercent() {
        return LoadSpread.maximumPercent(endpoints().endpoints().values(), loads, nowMillis());
    }

    /**
     * Returns the evaluation of endpoints by the results of connections.
     *
     * @return The health by endpoint.
     */
    EndpointHealth connectionHealth() {
        return connectionHealth;
    }

    /**
     * Returns the times for which endpoints want no requests.
     *
     * @return The back-offs by endpoint.
     */
    EndpointBackoffs backoffs() {
        return backoffs;
    }

    /**
     * Returns the evaluation of endpoints by the statuses of their responses.
     *
     * @return The outcomes by endpoint.
     */
    OutcomeTracker outcomes() {
        return outcomes;
    }

    /**
     * Returns the record of cached prompt parts.
     *
     * @return The endpoints by prompt part.
     */
    PromptPartTracker promptHolders() {
        return promptHolders;
    }

    /**
     * Returns the observations that instances exchange in heartbeats.
     *
     * @return A new record of the trackers of this context.
     */
    public PeerObservations observations() {
        return new PeerObservations(
                loads,
                outcomes,
                crashes,
                partCrashes,
                zoneReachability,
                promptHolders,
                streamOrigins);
    }

    /**
     * Returns the crashes of endpoints by request content.
     *
     * @return The crashes by fingerprint of the request.
     */
    CrashTracker crashes() {
        return crashes;
    }

    /**
     * Returns the crashes of endpoints by prompt part.
     *
     * @return The crashes by identifier of the part.
     */
    PartCrashTracker partCrashes() {
        return partCrashes;
    }

    /**
     * Returns the picker of endpoints.
     *
     * @return The picker of endpoints.
     */
    EndpointPicker picker() {
        return picker;
    }

    /**
     * Returns the retry budgets.
     *
     * @return The budgets by service.
     */
    public RetryBudgets budgets() {
        return budgets;
    }
}
