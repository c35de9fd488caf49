package io.chicorytrestle.core.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * Describes a workspace: a customer whose callers present its keys.
 *
 * @param name The name of the workspace.
 * @param keys The keys by which its callers are authenticated.
 * @param priorityRank The priority that overrides the one of the route, or empty if the route's
 *     applies.
 */
public record Workspace(String name, List<String> keys, OptionalInt priorityRank) {

    /** Copies the keys, so that the record is immutable. */
    public Workspace {
        keys = List.copyOf(keys);
    }
}
