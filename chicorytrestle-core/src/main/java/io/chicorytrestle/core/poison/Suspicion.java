package io.chicorytrestle.core.poison;

/**
 * Holds what is held against a request.
 *
 * @param finding The finding.
 * @param endpoint The name of the endpoint that crashed.
 * @param incarnation The incarnation of the endpoint that crashed.
 * @param untilMillis The time until which the finding holds, in milliseconds.
 */
record Suspicion(Finding finding, String endpoint, long incarnation, long untilMillis) {

    /**
     * Returns {@code true} if the suspicion stems from a crash.
     *
     * @param name The name of the endpoint that crashed.
     * @param run The incarnation of the endpoint that crashed.
     * @return {@code true} if the suspicion stems from the crash.
     */
    boolean isFromCrash(String name, long run) {
        return endpoint.equals(name) && incarnation == run;
    }

    /** Enumerates what is found about requests. */
    enum Finding {

        /** The request ran on an endpoint that crashed. */
        SUSPECT,

        /** The request crashed two endpoints. */
        CONFIRMED,

        /** The request ran whole, or the crash has another cause. */
        CLEARED
    }
}
