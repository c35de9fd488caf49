package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which endpoints to use after the store came back from a copy. Entries that lapsed
 * meanwhile are written again within a moment, so that a missing one is not gone yet. The copy may
 * also list an endpoint whose removal was lost. This class is not thread-safe: it is confined to
 * one thread.
 */
final class RestoredEndpoints {

    /** The time in milliseconds within which the entry of a live endpoint is back. */
    static final long MISSING_MILLIS = 2_000;

    /**
     * The time in milliseconds after which an entry that is still listed has been written by a live
     * endpoint, since that of a silent one would have lapsed.
     */
    static final long UNCONFIRMED_MILLIS = 4_000;

    /**
     * The time in milliseconds for which a removal is remembered, far longer than an endpoint
     * serves once its entry is removed.
     */
    private static final long REMOVAL_MEMORY_MILLIS = 600_000;

    /** The endpoints that a listing of a later era lacks, by identifier. */
    private final Map<String, ServingEndpoint> missing = new HashMap<>();

    /** The time in milliseconds since which their entries may come back. */
    private long missingSinceMillis;

    /** The incarnations whose entries are gone, and since which time in milliseconds. */
    private final Map<String, Long> removed = new HashMap<>();

    /**
     * The incarnations that are listed again though they were removed, and since which time in
     * milliseconds.
     */
    private final Map<String, Long> unconfirmed = new HashMap<>();

    /**
     * Begins the time in which missing entries may come back.
     *
     * @param sinceMillis The time in milliseconds at which this instance heard of the later era.
     */
    void beginEra(long sinceMillis) {
        missingSinceMillis = sinceMillis;
    }

    /**
     * Records that a listing of a later era lacks an endpoint.
     *
     * @param endpoint The endpoint.
     */
    void recordMissing(ServingEndpoint endpoint) {
        missing.put(endpoint.id(), endpoint);
    }

    /**
     * Ends that an endpoint is missing, since it is listed, removed or replaced.
     *
     * @param id The identifier of the endpoint.
     * @return The endpoint, or empty if it is not missing.
     */
    Optional<ServingEndpoint> takeMissing(String id) {
        return Optional.ofNullable(missing.remove(id));
    }

    /**
     * Returns the missing endpoints.
     *
     * @return The endpoints, also those whose time has passed.
     */
    List<ServingEndpoint> missing() {
        return List.copyOf(missing.values());
    }

    /**
     * Returns the missing endpoints whose entries may still come back.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The endpoints.
     */
    List<ServingEndpoint> missing(long nowMillis) {
        return nowMillis - missingSinceMillis < MISSING_MILLIS ? missing() : List.of();
    }

    /**
     * Returns the missing endpoints whose entries did not come back in time.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The endpoints.
     */
    List<ServingEndpoint> overdue(long nowMillis) {
        return nowMillis - missingSinceMillis < MISSING_MILLIS ? List.of() : missing();
    }

    /**
     * Records that the entry of an incarnation is gone.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The current time in milliseconds.
     */
    void recordRemoved(String incarnation, long nowMillis) {
        unconfirmed.remove(incarnation);
        removed.put(incarnation, nowMillis);
    }

    /**
     * Records that an incarnation is listed.
     *
     * @param incarnation The incarnation.
     * @param isLaterEra Whether the listing is the first one of a later era, which may lack its
     *     removal.
     * @param nowMillis The current time in milliseconds.
     */
    void recordListed(String incarnation, boolean isLaterEra, long nowMillis) {
        boolean wasRemoved = removed.remove(incarnation) != null;
        if (isLaterEra && (wasRemoved || unconfirmed.containsKey(incarnation))) {
            unconfirmed.put(incarnation, nowMillis);
        }
    }

    /**
     * Records that the entry of an incarnation was written.
     *
     * @param incarnation The incarnation.
     */
    void recordWritten(String incarnation) {
        removed.remove(incarnation);
        unconfirmed.remove(incarnation);
    }

    /**
     * Returns {@code true} if an incarnation may be gone although it is listed.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if it was removed, until its entry is written or was listed for long
     *     enough.
     */
    boolean isUnconfirmed(String incarnation, long nowMillis) {
        Long sinceMillis = unconfirmed.get(incarnation);
        return sinceMillis != null && nowMillis - sinceMillis < UNCONFIRMED_MILLIS;
    }

    /**
     * Forgets what is too old to matter.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        unconfirmed.values().removeIf(since -> nowMillis - since >= UNCONFIRMED_MILLIS);
        removed.values().removeIf(since -> nowMillis - since >= REMOVAL_MEMORY_MILLIS);
    }
}
