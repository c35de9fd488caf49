package io.chicorytrestle.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks which versions of each service's software may have begun a stream lately. It is confined
 * to one thread.
 */
public final class ServiceVersions {

    /**
     * The time in milliseconds for which a version may still have open streams after its last
     * endpoint was listed, longer than any stream.
     */
    public static final long POSSIBLE_MILLIS = 30_000;

    /**
     * The longest time in milliseconds without contact after which no endpoint can have been listed
     * and removed unnoticed.
     */
    private static final long MAXIMUM_GAP_MILLIS = 2_500;

    /** The age in milliseconds of the longest stream, which a history has to reach back to. */
    private static final long LONGEST_STREAM_MILLIS = 20_000;

    /** The time in milliseconds at which each version was last listed, by service and version. */
    private final Map<String, Map<String, Long>> listedMillis = new HashMap<>();

    /** The endpoints with a known version and when each was last listed, by incarnation. */
    private final Map<String, Listed> incarnations = new HashMap<>();

    /** The time in milliseconds since which the listing has been observed without a gap. */
    private long observedSinceMillis;

    /** The time in milliseconds of the last contact, far in the past before the first one. */
    private long lastContactMillis = Long.MIN_VALUE / 2;

    /** Whether it is known what was listed before that, back to the start of the oldest stream. */
    private boolean isHistoryKnown;

    /**
     * The time in milliseconds at which an endpoint of an unknown version and service may last have
     * been listed, far in the past before the first one.
     */
    private long unknownMillis = Long.MIN_VALUE / 2;

    /** The latest era of the store, or zero if none is known. */
    private long era;

    /** The time in milliseconds at which the era last rose, far in the past if it never did. */
    private long restoredMillis = Long.MIN_VALUE / 2;

    /**
     * Records that the known listing is current: this instance reads it, or hears from one that
     * does.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void recordContact(long nowMillis) {
        if (nowMillis - lastContactMillis > MAXIMUM_GAP_MILLIS) {
            observedSinceMillis = nowMillis;
            isHistoryKnown = false;
        }
        lastContactMillis = nowMillis;
    }

    /**
     * Records the era of the store.
     *
     * @param storeEra The latest era that is known, or zero if none is.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordEra(long storeEra, long nowMillis) {
        if (era > 0 && storeEra > era) {
            restoredMillis = nowMillis;
        }
        era = Math.max(era, storeEra);
    }

    /**
     * Records what was listed before the listing was observed. The history of a store that came
     * back from a copy lately counts for nothing, since it lacks changes; neither does one that is
     * shorter than the longest stream.
     *
     * @param history The history, which reaches to the present.
     * @param coveredMillis The time in milliseconds for which it reaches back.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordHistory(VersionHistory history, long coveredMillis, long nowMillis) {
        boolean isShort = coveredMillis < LONGEST_STREAM_MILLIS || history.isIncomplete();
        if (isShort || wasRestored(nowMillis)) {
            return;
        }
        recordContact(nowMillis);
        isHistoryKnown = true;
        if (history.hasUnknown()) {
            unknownMillis = nowMillis;
        }
        history.versions()
                .forEach(
                        (service, listed) ->
                                listed.forEach(
                                        version -> recordListed(service, version, nowMillis)));
    }

    /**
     * Returns {@code true} if the listing has not been observed for long enough to know which
     * versions may have begun a stream, so that a history of it is of use.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} after a start and after a time without contact, until a history is
     *     recorded or enough time has passed.
     */
    public boolean isHistoryOfUse(long nowMillis) {
        return !isObserved(nowMillis) && !wasRestored(nowMillis);
    }

    /**
     * Returns {@code true} if the store came back from a copy lately.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if streams may be open that are older than that.
     */
    private boolean wasRestored(long nowMillis) {
        return nowMillis - restoredMillis <= POSSIBLE_MILLIS;
    }

    /**
     * Returns {@code true} if all versions that may have begun an open stream are recorded.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the listing is current and was observed for long enough, or its
     *     history is known.
     */
    private boolean isObserved(long nowMillis) {
        return nowMillis - lastContactMillis <= MAXIMUM_GAP_MILLIS
                && (isHistoryKnown || nowMillis - observedSinceMillis >= POSSIBLE_MILLIS);
    }

    /**
     * Records the endpoints that are listed now.
     *
     * @param listed The endpoints, leaving ones included.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordListed(Collection<ServingEndpoint> listed, long nowMillis) {
        listed.forEach(endpoint -> recordListed(endpoint, nowMillis));
    }

    /**
     * Records an endpoint that is listed now, or was until now.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordListed(ServingEndpoint endpoint, long nowMillis) {
        recordListed(endpoint.service(), endpoint.version(), nowMillis);
        // Without a start time, the next run of an endpoint has the same incarnation.
        if (!endpoint.version().isEmpty() && endpoint.startMillis() != 0) {
            incarnations.put(endpoint.incarnation(), new Listed(endpoint, nowMillis));
        }
    }

    /**
     * Records a version that is listed now, or was until now.
     *
     * @param service The name of the service.
     * @param version The version, or blank if it is unknown.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordListed(String service, String version, long nowMillis) {
        listedMillis.computeIfAbsent(service, ignored -> new HashMap<>()).put(version, nowMillis);
    }

    /**
     * Adds the versions that were stated for the same incarnations before, since instances of
     * earlier builds omit them.
     *
     * @param endpoints The endpoints of a list, whose versions may be unknown.
     * @return The endpoints with their versions, where these are known.
     */
    public List<ServingEndpoint> complete(Collection<ServingEndpoint> endpoints) {
        return endpoints.stream()
                .map(
                        endpoint -> {
                            Listed listed = incarnations.get(endpoint.incarnation());
                            return listed == null || !endpoint.version().isEmpty()
                                    ? endpoint
                                    : endpoint.withVersion(listed.endpoint().version());
                        })
                .toList();
    }

    /**
     * Returns the version of a service if no other one can have begun a stream that is still open.
     *
     * @param service The name of the service.
     * @param nowMillis The current time in milliseconds.
     * @return The version, or empty if several were listed lately, one is unknown, or the listing
     *     has not been observed for long enough.
     */
    public Optional<String> soleVersion(String service, long nowMillis) {
        if (!isObserved(nowMillis) || nowMillis - unknownMillis <= POSSIBLE_MILLIS) {
            return Optional.empty();
        }
        Map<String, Long> versions = listedMillis.getOrDefault(service, Map.of());
        Optional<String> sole = Optional.empty();
        for (Map.Entry<String, Long> version : versions.entrySet()) {
            if (nowMillis - version.getValue() <= POSSIBLE_MILLIS) {
                if (sole.isPresent() || version.getKey().isEmpty()) {
                    return Optional.empty();
                }
                sole = Optional.of(version.getKey());
            }
        }
        return sole;
    }

    /**
     * Forgets the versions whose streams have ended.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        for (Map<String, Long> versions : listedMillis.values()) {
            versions.values().removeIf(millis -> nowMillis - millis > POSSIBLE_MILLIS);
        }
        listedMillis.values().removeIf(Map::isEmpty);
        incarnations
                .values()
                .removeIf(listed -> nowMillis - listed.listedMillis() > POSSIBLE_MILLIS);
    }

    /**
     * Holds an endpoint.
     *
     * @param endpoint The endpoint.
     * @param listedMillis The time in milliseconds at which it was last listed.
     */
    private record Listed(ServingEndpoint endpoint, long listedMillis) {}
}
