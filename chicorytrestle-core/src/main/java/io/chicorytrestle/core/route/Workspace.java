package io.chicorytrestle.core.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * Describes a customer.
 *
 * @param name The name of the workspace.
 * @param keys The keys that its callers present.
 * @param rank The urgency that replaces that of a route, or empty if the route's holds.
 */
public record Workspace(String name, List<String> keys, OptionalInt rank) {

    /** Copies the keys. */
    public Workspace {
        keys = List.copyOf(keys);
    }
}
