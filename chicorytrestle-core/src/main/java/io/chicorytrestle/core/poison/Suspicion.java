package io.chicorytrestle.core.poison;

/**
 * Holds a finding about a request and the crash that it stems from.
 *
 * @param finding The kind of finding.
 * @param endpoint The name of the endpoint that crashed.
 * @param incarnation The incarnation of the endpoint that crashed.
 * @param untilMillis The time until which the finding holds, in milliseconds.
 */
record Suspicion(Finding finding, String endpoint, long incarnation, long untilMillis) {

    /**
     * Returns {@code true} if the suspicion stems from the crash of an incarnation of an endpoint.
     *
     * @param endpointName The name of the endpoint that crashed.
     * @param crashedIncarnation The incarnation of the endpoint that crashed.
     * @return {@code true} if both the name and the incarnation match.
     */
    boolean isFromCrash(String endpointName, long crashedIncarnation) {
        return endpoint.equals(endpointName) && incarnation == crashedIncarnation;
    }

    /** Enumerates the kinds of finding. */
    enum Finding {

        /** An endpoint crashed while it executed the request. */
        SUSPECT,

        /** The request crashed two endpoints. */
        CONFIRMED,

        /** The request completed, or the crash has another cause. */
        CLEARED
    }
}
