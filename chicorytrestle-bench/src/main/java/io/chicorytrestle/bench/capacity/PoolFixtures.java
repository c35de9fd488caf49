package io.chicorytrestle.bench.capacity;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.EndpointState;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.routing.Dispatcher;
import io.chicorytrestle.core.routing.FleetDispatcher;
import io.chicorytrestle.core.routing.RoutingSettings;
import io.chicorytrestle.core.routing.WorkRequest;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Creates pools with a single entry instance for measurements. */
final class PoolFixtures {

    /** The name of the only pool. */
    static final String POOL = "pool";

    /** The availability zone of the entry instance and all endpoints. */
    private static final String ZONE = "zone";

    /** The number of requests that each endpoint runs concurrently. */
    private static final int ENDPOINT_CAPACITY = 32;

    /** The tokens of each prompt and response. */
    private static final int TOKENS = 500;

    /** The time by which the dispatcher has become the pool's leader, in milliseconds. */
    static final long LEADERSHIP_MILLIS = 60_000;

    /** The interval between two steps of the dispatcher in milliseconds. */
    private static final long STEP_MILLIS = 50;

    /** The maximum time that a request waits, in milliseconds. */
    private static final long REQUEST_TIMEOUT_MILLIS = 10_000;

    /** Prevents instantiation. */
    private PoolFixtures() {}

    /**
     * Creates a table with workspaces and one pool.
     *
     * @param workspaces The number of workspaces.
     * @return A new table.
     */
    static Table createTable(int workspaces) {
        Map<String, WorkspaceRow> rows = new HashMap<>();
        for (int index = 0; index < workspaces; index++) {
            String name = "workspace-" + index;
            rows.put(
                    name,
                    new WorkspaceRow(
                            name,
                            1,
                            WorkspaceRow.MAXIMUM_CEILING_REQUESTS,
                            1,
                            WorkspaceRow.MAXIMUM_QUEUE_REQUESTS));
        }
        PoolRow pool =
                new PoolRow(
                        POOL,
                        EndpointKind.ENGINE,
                        1,
                        PoolRow.DEFAULT_BOUND_MULTIPLE,
                        ENDPOINT_CAPACITY,
                        "model",
                        "1",
                        "",
                        "");
        return new Table(1, rows, Map.of(POOL, pool));
    }

    /**
     * Creates a pool with a dispatcher that has become its leader.
     *
     * @param size The number of endpoints.
     * @return The pool.
     */
    static PoolFixture createPool(int size) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            endpoints.add(
                    new Endpoint(
                            new EndpointIdentity("engine-" + index, 1),
                            EndpointKind.ENGINE,
                            POOL,
                            ZONE,
                            "127.0.0.1",
                            1,
                            ENDPOINT_CAPACITY));
        }
        InstanceIdentity self = new InstanceIdentity("instance", ZONE, 1);
        Blackboard blackboard = new Blackboard();
        blackboard.write(Topics.TABLE, createTable(1));
        blackboard.write(
                Topics.MEMBERSHIP,
                new MembershipView(
                        1,
                        List.of(new InstanceMember(self, "127.0.0.1", 1, true)),
                        endpoints.stream()
                                .map(endpoint -> new EndpointMember(endpoint, EndpointState.LIVE))
                                .toList()));
        VirtualNetwork.Node node =
                new VirtualNetwork(new VirtualScheduler(0), 1, message -> 0).start(self);
        Dispatcher dispatcher =
                FleetDispatcher.make(
                        blackboard,
                        self,
                        node,
                        node,
                        AuditTrail.NoOp.INSTANCE,
                        RoutingSettings.DEFAULT);
        for (long nowMillis = 0; nowMillis <= LEADERSHIP_MILLIS; nowMillis += STEP_MILLIS) {
            dispatcher.step(nowMillis);
        }
        return new PoolFixture(blackboard, endpoints, dispatcher);
    }

    /**
     * Holds a pool with a dispatcher in front of it.
     *
     * @param blackboard The blackboard that the dispatcher reads.
     * @param endpoints The endpoints of the pool.
     * @param dispatcher The dispatcher.
     */
    record PoolFixture(Blackboard blackboard, List<Endpoint> endpoints, Dispatcher dispatcher) {

        /**
         * Creates a request for the pool.
         *
         * @param round The number in the names of the request and its chat.
         * @return A new request.
         */
        WorkRequest request(long round) {
            return new WorkRequest(
                    "request-" + round,
                    new ChatKey("workspace-0", "chat-" + round),
                    POOL,
                    TOKENS,
                    TOKENS,
                    LEADERSHIP_MILLIS + REQUEST_TIMEOUT_MILLIS,
                    Optional.empty(),
                    Set.of());
        }
    }
}
