package io.chicorytrestle.core.placement;

import java.util.Optional;

/**
 * States which endpoint serves a request.
 *
 * @param endpoint The endpoint.
 * @param reason Why it was chosen.
 * @param fetchAddress The address of an endpoint that holds shared parts which this one lacks.
 * @param load The work that the endpoint was believed to carry, in requests.
 */
public record Placement(
        ServingEndpoint endpoint,
        PlacementReason reason,
        Optional<String> fetchAddress,
        double load) {

    /** Checks the load. */
    public Placement {
        if (!(load >= 0)) {
            throw new IllegalArgumentException("Load is negative: " + load);
        }
    }

    /**
     * Returns this placement with an endpoint to fetch from.
     *
     * @param address The address of an endpoint that holds shared parts, if any.
     * @return The placement.
     */
    public Placement withFetchAddress(Optional<String> address) {
        return new Placement(endpoint, reason, address, load);
    }
}
