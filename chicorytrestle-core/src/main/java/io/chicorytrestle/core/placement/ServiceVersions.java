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

    /** The time in milliseconds at which each version was last listed, by service and version. */
    private final Map<String, Map<String, Long>> listedMillis = new HashMap<>();

    /** The endpoints with a known version and when each was last listed, by incarnation. */
    private final Map<String, Listed> incarnations = new HashMap<>();

    /** The time in milliseconds since which the listing has been observed without a gap. */
    private long observedSinceMillis;

    /** The time in milliseconds of the last contact, far in the past before the first one. */
    private long lastContactMillis = Long.MIN_VALUE / 2;

    /**
     * Records that the known listing is current: this instance reads it, or hears from one that
     * does.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void recordContact(long nowMillis) {
        if (nowMillis - lastContactMillis > MAXIMUM_GAP_MILLIS) {
            observedSinceMillis = nowMillis;
        }
        lastContactMillis = nowMillis;
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
        listedMillis
                .computeIfAbsent(endpoint.service(), ignored -> new HashMap<>())
                .put(endpoint.version(), nowMillis);
        // Without a start time, the next run of an endpoint has the same incarnation.
        if (!endpoint.version().isEmpty() && endpoint.startMillis() != 0) {
            incarnations.put(endpoint.incarnation(), new Listed(endpoint, nowMillis));
        }
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
        boolean isObserved =
                nowMillis - lastContactMillis <= MAXIMUM_GAP_MILLIS
                        && nowMillis - observedSinceMillis >= POSSIBLE_MILLIS;
        if (!isObserved) {
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
