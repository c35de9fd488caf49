package io.chicorytrestle.core.placement;

import java.util.Optional;

/**
 * States which endpoint serves a request.
 *
 * @param endpoint The endpoint.
 * @param reason Why it was chosen.
 * @param fetchAddress The address of an endpoint that holds shared parts which this one lacks.
 * @param estimatedLoad The work that the endpoint was believed to carry, in requests.
 */
public record Placement(
        ServingEndpoint endpoint,
        PlacementReason reason,
        Optional<String> fetchAddress,
        double estimatedLoad) {

    /** Checks the load. */
    public Placement {
        if (!(estimatedLoad >= 0)) {
            throw new IllegalArgumentException("Load is negative: " + estimatedLoad);
        }
    }

    /**
     * Returns this placement with an endpoint to fetch from.
     *
     * @param address The address of an endpoint that holds shared parts, if any.
     * @return The placement.
     */
    public Placement withFetchAddress(Optional<String> address) {
        return new Placement(endpoint, reason, address, estimatedLoad);
    }
}
