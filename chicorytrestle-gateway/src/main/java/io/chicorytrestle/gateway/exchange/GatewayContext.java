package io.chicorytrestle.gateway.exchange;

import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.limit.RetryBudget;
import io.chicorytrestle.core.placement.EndpointHealth;
import io.chicorytrestle.core.placement.EndpointPicker;
import io.chicorytrestle.core.placement.HolderBook;
import io.chicorytrestle.core.placement.LoadBook;
import io.chicorytrestle.core.placement.PlacementSettings;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.route.RouteTopics;
import io.chicorytrestle.core.route.RoutingTable;
import io.chicorytrestle.gateway.dialect.RequestDialect;
import io.chicorytrestle.gateway.endpoint.EndpointPool;
import io.chicorytrestle.gateway.operations.GatewayMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Holds what all requests of an instance share. It is confined to the event loop's thread. */
public final class GatewayContext {

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

    /** Judges endpoints. */
    private final EndpointHealth health = new EndpointHealth();

    /** Remembers who holds prompt parts. */
    private final HolderBook holders = new HolderBook();

    /** Chooses endpoints. */
    private final EndpointPicker picker;

    /** Makes the retry budget of a service. */
    private final Supplier<RetryBudget> budgetFactory;

    /** The retry budgets by service. */
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates a new context.
     *
     * @param reactor The event loop.
     * @param blackboard What this instance believes.
     * @param dialect Translates headers.
     * @param metrics Counts what happens.
     * @param placement Bounds the choice of an endpoint.
     * @param budgetFactory Makes the retry budget of a service.
     */
    public GatewayContext(
            NioReactor reactor,
            Blackboard blackboard,
            RequestDialect dialect,
            GatewayMetrics metrics,
            PlacementSettings placement,
            Supplier<RetryBudget> budgetFactory) {
        this.reactor = reactor;
        this.blackboard = blackboard;
        this.dialect = dialect;
        this.metrics = metrics;
        this.budgetFactory = budgetFactory;
        pool = new EndpointPool(reactor, dialect, metrics.counter("endpoint_connections_total"));
        picker = new EndpointPicker(placement, loads, health, holders);
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
     * Returns the endpoints of a service that may take work.
     *
     * @param service The name of the service.
     * @return The endpoints.
     */
    List<ServingEndpoint> endpoints(String service) {
        return blackboard.read(PlacementTopics.SERVING).of(service);
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
    public LoadBook loads() {
        return loads;
    }

    /**
     * Returns the judgement of endpoints.
     *
     * @return The judgement of endpoints.
     */
    public EndpointHealth health() {
        return health;
    }

    /**
     * Returns the memory of who holds prompt parts.
     *
     * @return The memory of who holds prompt parts.
     */
    public HolderBook holders() {
        return holders;
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
     * Returns the retry budget of a service.
     *
     * @param service The name of the service.
     * @return The retry budget.
     */
    RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, ignored -> budgetFactory.get());
    }
}
