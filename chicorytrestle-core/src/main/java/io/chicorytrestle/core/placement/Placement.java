package io.chicorytrestle.core.placement;

import java.util.Optional;

/**
 * Describes which endpoint serves a request and why.
 *
 * @param endpoint The endpoint.
 * @param reason Why it was chosen.
 * @param fetchAddress The address of an endpoint whose KV cache holds shared prompt parts that this
 *     one lacks, or empty if none is known.
 * @param estimatedLoad The estimated number of requests at the endpoint when it was chosen.
 */
public record Placement(
        ServingEndpoint endpoint,
        PlacementReason reason,
        Optional<String> fetchAddress,
        double estimatedLoad) {

    /** Rejects a negative load. */
    public Placement {
        if (!(estimatedLoad >= 0)) {
            throw new IllegalArgumentException(
                    "Estimated load must not be negative: " + estimatedLoad);
        }
    }

    /**
     * Returns this placement with an endpoint to fetch from.
     *
     * @param address The address of an endpoint that holds shared prompt parts, or empty if none is
     *     known.
     * @return The placement.
     */
    public Placement withFetchAddress(Optional<String> address) {
        return new Placement(endpoint, reason, address, estimatedLoad);
    }
}
