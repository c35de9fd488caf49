package io.chicorytrestle.core.route;

import java.util.Optional;

/**
 * Describes a group of endpoints that serve the same requests.
 *
 * @param name The name of the service.
 * @param maximumConnections The maximum number of connections that one endpoint accepts from all
 *     clients together, at least one.
 * @param engine The capacity of each model engine, or empty for a service without a model.
 * @param warmUp How its endpoints behave while they are cold, or empty if they accept any rate of
 *     requests from their start on.
 */
public record Service(
        String name,
        int maximumConnections,
        Optional<EngineLimits> engine,
        Optional<WarmUp> warmUp) {

    /** Rejects a number of connections that is not positive. */
    public Service {
        if (maximumConnections <= 0) {
            throw new IllegalArgumentException(
                    "Service "
                            + name
                            + " must accept at least one connection: "
                            + maximumConnections);
        }
    }
}
