package io.chicorytrestle.core.route;

import java.util.Optional;

/**
 * Describes a group of endpoints that serve the same requests.
 *
 * @param name The name of the service.
 * @param maximumConnections The connections that one endpoint accepts from all callers together.
 * @param engine What each model engine offers, or empty for a plain service.
 */
public record Service(String name, int maximumConnections, Optional<EngineLimits> engine) {

    /** Checks the bound. */
    public Service {
        if (maximumConnections <= 0) {
            throw new IllegalArgumentException(
                    "Service " + name + " accepts no connections: " + maximumConnections);
        }
    }
}
