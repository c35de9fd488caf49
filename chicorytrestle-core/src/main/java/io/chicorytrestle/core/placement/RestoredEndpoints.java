package io.chicorytrestle.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which endpoints to use after the store came back from a copy. Entries that lapsed
 * meanwhile are written again within a moment, so that a missing one is not gone yet. This class is
 * not thread-safe: it is confined to one thread.
 */
final class RestoredEndpoints {

    /** The time in milliseconds within which the entry of a live endpoint is back. */
    static final long MISSING_MILLIS = 2_000;

    /** The endpoints that a listing of a later era lacks, by identifier. */
    private final Map<String, MissingEndpoint> missing = new HashMap<>();

    /**
     * Records that a listing of a later era lacks an endpoint.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    void recordMissing(ServingEndpoint endpoint, long nowMillis) {
        missing.put(endpoint.id(), new MissingEndpoint(endpoint, nowMillis));
    }

    /**
     * Ends that an endpoint is missing, since it is listed, removed or replaced.
     *
     * @param id The identifier of the endpoint.
     * @return The endpoint, or empty if it is not missing.
     */
    Optional<ServingEndpoint> takeMissing(String id) {
        return Optional.ofNullable(missing.remove(id)).map(MissingEndpoint::endpoint);
    }

    /**
     * Returns the missing endpoints.
     *
     * @return The endpoints, also those whose time has passed.
     */
    List<ServingEndpoint> missing() {
        return missing.values().stream().map(MissingEndpoint::endpoint).toList();
    }

    /**
     * Returns the missing endpoints whose entries may still come back.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The endpoints.
     */
    List<ServingEndpoint> missing(long nowMillis) {
        return missing.values().stream()
                .filter(entry -> nowMillis - entry.sinceMillis() < MISSING_MILLIS)
                .map(MissingEndpoint::endpoint)
                .toList();
    }

    /**
     * Returns the missing endpoints whose entries did not come back in time.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The endpoints.
     */
    List<ServingEndpoint> overdue(long nowMillis) {
        List<ServingEndpoint> overdue = new ArrayList<>(missing());
        overdue.removeAll(missing(nowMillis));
        return overdue;
    }

    /**
     * Holds an endpoint that a listing of a later era lacks.
     *
     * @param endpoint The endpoint.
     * @param sinceMillis The time of the listing in milliseconds.
     */
    private record MissingEndpoint(ServingEndpoint endpoint, long sinceMillis) {}
}
