package io.chicorytrestle.core.placement;

/**
 * Divides the estimated load of an endpoint by whether it is probably still there.
 *
 * @param knownRequests The requests of this instance, and those of peers that have probably not
 *     ended since they were reported.
 * @param unknownRequests The other requests of peers, which have probably been replaced by requests
 *     to endpoints that are unknown.
 */
record LoadEstimate(double knownRequests, double unknownRequests) {

    /** Rejects negative numbers. */
    LoadEstimate {
        if (!(knownRequests >= 0) || !(unknownRequests >= 0)) {
            throw new IllegalArgumentException(
                    "Estimated requests must not be negative: "
                            + knownRequests
                            + ", "
                            + unknownRequests);
        }
    }
}
