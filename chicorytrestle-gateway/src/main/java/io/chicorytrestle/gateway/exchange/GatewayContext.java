package io.chicorytrestle.gateway.exchange;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.limit.RetryBudgets;
import io.chicorytrestle.core.limit.RetryShare;
import io.chicorytrestle.core.placement.EndpointHealth;
import io.chicorytrestle.core.placement.EndpointPicker;
import io.chicorytrestle.core.placement.HolderBook;
import io.chicorytrestle.core.placement.LoadBook;
import io.chicorytrestle.core.placement.OutcomeBook;
import io.chicorytrestle.core.placement.PlacementSettings;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.ServingView;
import io.chicorytrestle.core.placement.ZoneReach;
import io.chicorytrestle.core.poison.CrashBook;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.dialect.RequestDialect;
import io.chicorytrestle.gateway.endpoint.EndpointPool;
import io.chicorytrestle.gateway.fleet.Observations;
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
    private final RequestDialect dialect;

    /** Connects to endpoints. */
    private final EndpointPool pool;

    /** Counts what happens. */
    private final GatewayMetrics metrics;

    /** Estimates load. */
    private final LoadBook loads = new LoadBook();

    /** Judges endpoints by their connections. */
    private final EndpointHealth health = new EndpointHealth();

    /** Judges endpoints by their answers. */
    private final OutcomeBook outcomes = new OutcomeBook();

    /** Judges zones. */
    private final ZoneReach reach;

    /** Remembers who holds prompt parts. */
    private final HolderBook holders = new HolderBook();

    /** Chooses endpoints. */
    private final EndpointPicker picker;

    /** What is held against requests. */
    private final CrashBook crashes = new CrashBook();

    /** Limits retries. */
    private final RetryBudgets budgets;

    /** The requests that are being served. */
    private final Set<Exchange> exchanges = new HashSet<>();

    /** The zones that were out of reach at the last step. */
    private Set<String> unreachableBefore = Set.of();

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
            RequestDialect dialect,
            GatewayMetrics metrics,
            PlacementSettings placement,
            RetryShare retries) {
        this.reactor = reactor;
        this.blackboard = blackboard;
        this.dialect = dialect;
        this.metrics = metrics;
        budgets = new RetryBudgets(retries);
        reach = new ZoneReach(placement.zone());
        pool = new EndpointPool(reactor, dialect, metrics.counter("endpoint_connections_total"));
        picker = new EndpointPicker(placement, loads, health, outcomes, reach, holders);
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
    boolean isInformed() {
        return table().isPublished() && !endpoints().endpoints().isEmpty();
    }

    /**
     * Returns the judgement of zones.
     *
     * @return The judgement of zones.
     */
    ZoneReach reach() {
        return reach;
    }

    /**
     * Takes note of a request that is being served.
     *
     * @param exchange The request.
     */
    void begin(Exchange exchange) {
        exchanges.add(exchange);
    }

    /**
     * Takes note of a request that ended.
     *
     * @param exchange The request.
     */
    void end(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /**
     * Moves what can be repeated away from zones that are out of reach.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void step(long nowMillis) {
        loads.expire(nowMillis);
        health.expire(nowMillis);
        outcomes.expire(nowMillis);
        crashes.expire(nowMillis);
        pool.sweep();
        Set<String> unreachable = reach.unreachable(nowMillis);
        if (!unreachable.equals(unreachableBefore)) {
            LOGGER.atWarning()
                    .with(LogFields.OUTCOME, unreachable.toString())
                    .with(LogFields.REASON, unreachableBefore.toString())
                    .log("unreachable_zones_changed");
            unreachableBefore = unreachable;
        }
        if (!unreachable.isEmpty()) {
            List.copyOf(exchanges).forEach(exchange -> exchange.leaveZones(unreachable));
            pool.closeIdleIn(unreachable);
        }
    }

    /**
     * Returns the translator of headers.
     *
     * @return The translator of headers.
     */
    RequestDialect dialect() {
        return dialect;
    }

    /**
     * Returns the connections to endpoints.
     *
     * @return The connections to endpoints.
     */
    public EndpointPool pool() {
        return pool;
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
    LoadBook loads() {
        return loads;
    }

    /**
     * Returns the judgement of endpoints by their connections.
     *
     * @return The judgement of endpoints by their connections.
     */
    EndpointHealth health() {
        return health;
    }

    /**
     * Returns the judgement of endpoints by their answers.
     *
     * @return The judgement of endpoints by their answers.
     */
    OutcomeBook outcomes() {
        return outcomes;
    }

    /**
     * Returns the memory of who holds prompt parts.
     *
     * @return The memory of who holds prompt parts.
     */
    HolderBook holders() {
        return holders;
    }

    /**
     * Returns what instances tell each other.
     *
     * @return What instances tell each other.
     */
    public Observations observations() {
        return new Observations(loads, outcomes, crashes, reach);
    }

    /**
     * Returns what is held against requests.
     *
     * @return What is held against requests.
     */
    CrashBook crashes() {
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
