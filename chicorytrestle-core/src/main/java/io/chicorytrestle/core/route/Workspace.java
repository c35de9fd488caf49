package io.chicorytrestle.core.route;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Describes a workspace: a customer whose callers present its keys.
 *
 * @param name The name of the workspace.
 * @param keys The keys by which its callers are authenticated.
 * @param priorityRank The priority that overrides the one of the route, or empty if the route's
 *     applies.
 * @param allowedRegions The regions in which requests may be processed, or none for all.
 */
public record Workspace(
        String name, List<String> keys, OptionalInt priorityRank, Set<String> allowedRegions) {

    /** Copies the collections, so that the record is immutable. */
    public Workspace {
        keys = List.copyOf(keys);
        allowedRegions = Set.copyOf(allowedRegions);
    }
}
