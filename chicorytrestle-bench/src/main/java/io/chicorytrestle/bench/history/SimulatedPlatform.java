package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Simulates the platform's list of entry instances, and creates the tables that it publishes. */
final class SimulatedPlatform {

    /** The value of limits in the table that no history reaches. */
    private static final int UNRESTRICTED = 1_000;

    /** The listed entry instances by name. */
    private final Map<String, InstanceMember> instances = new TreeMap<>();

    /** The revision of the most recent view. */
    private long revision;

    /**
     * Lists an entry instance as live, in place of an earlier incarnation.
     *
     * @param identity The identity of the instance.
     */
    void listInstance(InstanceIdentity identity) {
        instances.put(identity.name(), new InstanceMember(identity, "127.0.0.1", 1, true));
    }

    /**
     * Lists an entry instance as leaving. Does nothing if it is not listed.
     *
     * @param name The name of the instance.
     */
    void markLeaving(String name) {
        instances.computeIfPresent(
                name,
                (key, member) ->
                        new InstanceMember(member.identity(), member.host(), member.port(), false));
    }

    /**
     * Removes an entry instance from the list.
     *
     * @param name The name of the instance.
     */
    void remove(String name) {
        instances.remove(name);
    }

    /**
     * Creates a view of the fleet with the next revision.
     *
     * @param endpoints The endpoints to include.
     * @return The view of these endpoints and the listed instances.
     */
    MembershipView view(List<EndpointMember> endpoints) {
        revision++;
        return new MembershipView(revision, List.copyOf(instances.values()), endpoints);
    }

    /**
     * Creates a table. Versions differ in nothing but their number.
     *
     * @param version The version of the table.
     * @return The table with one workspace and one pool of each kind.
     */
    static Table table(long version) {
        return new Table(
                version,
                Map.of(
                        HistorySimulation.WORKSPACE,
                        new WorkspaceRow(
                                HistorySimulation.WORKSPACE, 1, UNRESTRICTED, 1, UNRESTRICTED)),
                Map.of(
                        SimulatedEndpoints.SERVICE_POOL,
                        pool(SimulatedEndpoints.SERVICE_POOL, EndpointKind.SERVICE, ""),
                        SimulatedEndpoints.ENGINE_POOL,
                        pool(SimulatedEndpoints.ENGINE_POOL, EndpointKind.ENGINE, "model")));
    }

    /**
     * Creates the row of a pool without effective limits.
     *
     * @param name The name of the pool.
     * @param kind The kind of its endpoints.
     * @param model The name of the model, or an empty string for services.
     * @return The row.
     */
    private static PoolRow pool(String name, EndpointKind kind, String model) {
        return new PoolRow(
                name, kind, 1, PoolRow.MAXIMUM_BOUND_MULTIPLE, UNRESTRICTED, model, "", "", "");
    }
}
