package io.chicorytrestle.core.table;

import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.identity.Names;

/**
 * Holds the weights and limits of one pool of endpoints.
 *
 * @param name The pool's name.
 * @param kind The kind of the pool's endpoints.
 * @param share The pool's weight when several pools compete for loading model weights.
 * @param boundMultiple The multiple of the pool's mean load that no endpoint may exceed.
 * @param ceilingRequests The maximum number of requests in flight on one endpoint.
 * @param model The model that the pool's engines serve, or an empty string for plain services.
 * @param modelVersion The model's version, or an empty string for plain services.
 * @param adapter The adapter to load, or an empty string for none.
 * @param role The role that the engines take, or an empty string for the default role.
 */
public record PoolRow(
        String name,
        EndpointKind kind,
        double share,
        double boundMultiple,
        int ceilingRequests,
        String model,
        String modelVersion,
        String adapter,
        String role)
        implements TableRow {

    /** The bound multiple of rows that omit it. */
    public static final double DEFAULT_BOUND_MULTIPLE = 1.25;

    /** The largest bound multiple that is allowed. */
    public static final double MAXIMUM_BOUND_MULTIPLE = 10;

    /** The largest ceiling of an endpoint that is allowed, in requests. */
    public static final int MAXIMUM_CEILING_REQUESTS = 10_000;

    /**
     * Creates a new row.
     *
     * @throws IllegalArgumentException If a value is out of its range or an engine pool names no
     *     model.
     */
    public PoolRow {
        Names.require("pool", name);
        RangeChecks.requireDouble("share", share, 0, WorkspaceRow.MAXIMUM_SHARE);
        RangeChecks.requireDouble("multiple", boundMultiple, 1, MAXIMUM_BOUND_MULTIPLE);
        RangeChecks.requireLong("ceiling", ceilingRequests, 1, MAXIMUM_CEILING_REQUESTS);
        if (kind == EndpointKind.ENGINE && model.isEmpty()) {
            throw new IllegalArgumentException("Cannot use engine pool without model: " + name);
        }
    }

    @Override
    public TableSection section() {
        return TableSection.POOLS;
    }
}
