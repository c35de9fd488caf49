package io.chicorytrestle.core.table;

import io.chicorytrestle.core.identity.Names;

/**
 * Holds the weights and limits of one workspace.
 *
 * @param name The workspace's name.
 * @param share The workspace's weight against other workspaces; a workspace of weight zero only
 *     gets capacity that no other workspace uses.
 * @param ceilingRequests The maximum number of requests in flight over the whole fleet.
 * @param priority The priority from {@link #MINIMUM_PRIORITY} to {@link #MAXIMUM_PRIORITY}, larger
 *     first.
 * @param queueRequests The maximum number of requests that wait on one entry instance.
 */
public record WorkspaceRow(
        String name, double share, int ceilingRequests, int priority, int queueRequests)
        implements TableRow {

    /** The largest share that is allowed. */
    public static final double MAXIMUM_SHARE = 10_000;

    /** The largest ceiling that is allowed, in requests. */
    public static final int MAXIMUM_CEILING_REQUESTS = 1_000_000;

    /** The lowest priority. */
    public static final int MINIMUM_PRIORITY = 0;

    /** The highest priority. */
    public static final int MAXIMUM_PRIORITY = 9;

    /** The longest queue that is allowed, in requests. */
    public static final int MAXIMUM_QUEUE_REQUESTS = 10_000;

    /**
     * Creates a new row.
     *
     * @throws IllegalArgumentException If a value is out of its range.
     */
    public WorkspaceRow {
        Names.require("workspace", name);
        RangeChecks.requireDouble("share", share, 0, MAXIMUM_SHARE);
        RangeChecks.requireLong("ceiling", ceilingRequests, 0, MAXIMUM_CEILING_REQUESTS);
        RangeChecks.requireLong("priority", priority, MINIMUM_PRIORITY, MAXIMUM_PRIORITY);
        RangeChecks.requireLong("queue", queueRequests, 0, MAXIMUM_QUEUE_REQUESTS);
    }

    @Override
    public TableSection section() {
        return TableSection.WORKSPACES;
    }
}
