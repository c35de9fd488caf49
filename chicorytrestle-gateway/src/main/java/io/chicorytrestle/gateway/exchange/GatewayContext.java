package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.limit.RetryAllowance;
import io.chicorytrestle.core.limit.RetryBudgets;
import io.chicorytrestle.core.placement.EndpointHealth;
import io.chicorytrestle.core.placement.EndpointPicker;
import io.chicorytrestle.core.placement.LoadTracker;
import io.chicorytrestle.core.placement.OutcomeTracker;
import io.chicorytrestle.core.placement.PlacementSettings;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.PromptPartTracker;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.placement.ZoneReachability;
import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.endpoint.EndpointConnectionPool;
import io.chicorytrestle.gateway.fleet.PeerObservations;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import io.chicorytrestle.gateway.operations.LogFields;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Holds what all requests of an instance share. It is confined to the event loop's thread. */
public final class GatewayContext {

    /** Reports zones that are lost and regained. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The event loop. */
    private final NioReactor reactor;

    /** What this instance believes. */
    private final Blackboard blackboard;

    /** Translates headers. */
    private final HeaderDialect dialect;

    /** Connects to endpoints. */
    private final EndpointConnectionPool endpointConnections;

    /** Counts what happens. */
    private final GatewayMetrics metrics;

    /** Estimates load. */
    private final LoadTracker loads = new LoadTracker();

    /** Judges endpoints by their connections. */
    private final EndpointHealth connectionHealth = new EndpointHealth();

    /** Judges endpoints by their answers. */
    private final OutcomeTracker outcomes = new OutcomeTracker();

    /** Judges zones. */
    private final ZoneReachability zoneReachability;

    /** Remembers who holds prompt parts. */
    private final PromptPartTracker promptHolders = new PromptPartTracker();

    /** Chooses endpoints. */
    private final EndpointPicker picker;

    /** What is held against requests. */
    private final CrashTracker crashes = new CrashTracker();

    /** Limits retries. */
    private final RetryBudgets budgets;

    /** The requests that are being served. */
    private final Set<Exchange> exchanges = new HashSet<>();

    /** The zones that were out of reach at the last step. */
    private Set<String> lastUnreachableZones = Set.of();

    /**
     * Creates a new context.
     *
     * @param reactor The event loop.
     * @param blackboard What this instance believes.
     * @param dialect Translates headers.
     * @param metrics Counts what happens.
     * @param placement Bounds the choice of an endpoint.
     * @param retries Divides the fleet's allowance of retries.
     */
    public GatewayContext(
            NioReactor reactor,
            Blackboard blackboard,
            HeaderDialect dialect,
            GatewayMetrics metrics,
            PlacementSettings placement,
            RetryAllowance retries) {
        this.reactor = reactor;
        this.blackboard = blackboard;
        this.dialect = dialect;
        this.metrics = metrics;
        budgets = new RetryBudgets(retries);
        zoneReachability = new ZoneReachability(placement.zone());
        endpointConnections =
                new EndpointConnectionPool(
                        reactor, dialect, metrics.counter("endpoint_connections_total"));
        picker =
                new EndpointPicker(
                        placement,
                        loads,
                        connectionHealth,
                        outcomes,
                        zoneReachability,
                        promptHolders);
    }

    /**
     * Returns the event loop.
     *
     * @return The event loop.
     */
    NioReactor reactor() {
        return reactor;
    }

    /**
     * Returns the present time.
     *
     * @return The present time of the steady clock in milliseconds.
     */
    public long nowMillis() {
        return reactor.currentTimeMillis();
    }

    /**
     * Returns the routing table in force.
     *
     * @return The routing table in force.
     */
    public RoutingTable table() {
        return blackboard.read(RouteTopics.ROUTING_TABLE);
    }

    /**
     * Returns the known endpoints.
     *
     * @return The known endpoints.
     */
    ServingView endpoints() {
        return blackboard.read(PlacementTopics.SERVING);
    }

    /**
     * Returns {@code true} if requests can be routed and placed.
     *
     * @return {@code true} if a routing table and endpoints are known.
     */
    boolean isReadyToRoute() {
        return table().isPublished() && !endpoints().endpoints().isEmpty();
    }

    /**
     * Returns the judgement of zones.
     *
     * @return The judgement of zones.
     */
    ZoneReachability zoneReachability() {
        return zoneReachability;
    }

    /**
     * Takes note of a request that is being served.
     *
     * @param exchange The request.
     */
    void register(Exchange exchange) {
        exchanges.add(exchange);
    }

    /**
     * Takes note of a request that ended.
     *
     * @param exchange The request.
     */
    void unregister(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /**
     * Moves what can be repeated away from zones that are out of reach.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void step(long nowMillis) {
        loads.removeExpired(nowMillis);
        connectionHealth.removeExpired(nowMillis);
        outcomes.removeNegligible(nowMillis);
        crashes.removeExpired(nowMillis);
        endpointConnections.closeExpired();
        Set<String> unreachable = zoneReachability.unreachable(nowMillis);
        if (!unreachable.equals(lastUnreachableZones)) {
            LOGGER.atWarning()
                    .with(LogFields.OUTCOME, unreachable.toString())
                    .with(LogFields.REASON, lastUnreachableZones.toString())
                    .log("unreachable_zones_changed");
            lastUnreachableZones = unreachable;
        }
        if (!unreachable.isEmpty()) {
            List.copyOf(exchanges).forEach(exchange -> exchange.abandonZones(unreachable));
            endpointConnections.closeIdleInZones(unreachable);
        }
    }

    /**
     * Returns the translator of headers.
     *
     * @return The translator of headers.
     */
    HeaderDialect dialect() {
        return dialect;
    }

    /**
     * Returns the connections to endpoints.
     *
     * @return The connections to endpoints.
     */
    public EndpointConnectionPool endpointConnections() {
        return endpointConnections;
    }

    /**
     * Returns the counters.
     *
     * @return The counters.
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the estimates of load.
     *
     * @return The estimates of load.
     */
    LoadTracker loads() {
        return loads;
    }

    /**
     * Returns the judgement of endpoints by their connections.
     *
     * @return The judgement of endpoints by their connections.
     */
    EndpointHealth connectionHealth() {
        return connectionHealth;
    }

    /**
     * Returns the judgement of endpoints by their answers.
     *
     * @return The judgement of endpoints by their answers.
     */
    OutcomeTracker outcomes() {
        return outcomes;
    }

    /**
     * Returns the memory of who holds prompt parts.
     *
     * @return The memory of who holds prompt parts.
     */
    PromptPartTracker promptHolders() {
        return promptHolders;
    }

    /**
     * Returns what instances tell each other.
     *
     * @return What instances tell each other.
     */
    public PeerObservations observations() {
        return new PeerObservations(loads, outcomes, crashes, zoneReachability);
    }

    /**
     * Returns what is held against requests.
     *
     * @return What is held against requests.
     */
    CrashTracker crashes() {
        return crashes;
    }

    /**
     * Returns the chooser of endpoints.
     *
     * @return The chooser of endpoints.
     */
    EndpointPicker picker() {
        return picker;
    }

    /**
     * Returns the retry budgets.
     *
     * @return The retry budgets.
     */
    public RetryBudgets budgets() {
        return budgets;
    }
}
