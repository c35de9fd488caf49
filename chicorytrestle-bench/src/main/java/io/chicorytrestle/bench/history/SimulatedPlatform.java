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

/** Fakes what the platform lists and serves. */
final class SimulatedPlatform {

    /** The table's values that matter little here. */
    private static final int UNRESTRICTED = 1_000;

    /** The entry instances by name. */
    private final Map<String, InstanceMember> instances = new TreeMap<>();

    /** The revision of the list. */
    private long revision;

    /**
     * Lists an entry instance.
     *
     * @param identity The identity.
     */
    void listInstance(InstanceIdentity identity) {
        instances.put(identity.name(), new InstanceMember(identity, "127.0.0.1", 1, true));
    }

    /**
     * Marks an entry instance as leaving.
     *
     * @param name The name.
     */
    void markLeaving(String name) {
        instances.computeIfPresent(
                name,
                (key, member) ->
                        new InstanceMember(member.identity(), member.host(), member.port(), false));
    }

    /**
     * Removes an entry instance.
     *
     * @param name The name.
     */
    void remove(String name) {
        instances.remove(name);
    }

    /**
     * Returns what is listed now.
     *
     * @param endpoints The endpoints.
     * @return The view.
     */
    MembershipView view(List<EndpointMember> endpoints) {
        revision++;
        return new MembershipView(revision, List.copyOf(instances.values()), endpoints);
    }

    /**
     * Returns a table.
     *
     * @param version The version.
     * @return The table.
     */
    static Table table(long version) {
        return new Table(
                version,
                Map.of(
                        HistorySimulation.WORKSPACE,
                        new WorkspaceRow(HistorySimulation.WORKSPACE, 1, UNRESTRICTED, 1, UNRESTRICTED)),
                Map.of(
                        SimulatedEndpoints.SERVICE_POOL,
                        pool(SimulatedEndpoints.SERVICE_POOL, EndpointKind.SERVICE, ""),
                        SimulatedEndpoints.ENGINE_POOL,
                        pool(SimulatedEndpoints.ENGINE_POOL, EndpointKind.ENGINE, "model")));
    }

    /**
     * Returns the row of a pool.
     *
     * @param name The name.
     * @param kind The kind.
     * @param model The model.
     * @return The row.
     */
    private static PoolRow pool(String name, EndpointKind kind, String model) {
        return new PoolRow(name, kind, 1, PoolRow.MAXIMUM_BOUND_MULTIPLE, UNRESTRICTED, model, "", "", "");
    }
}
