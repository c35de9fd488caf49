package io.chicorytrestle.core.placement;

import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which endpoints get no requests because the operator has evacuated their availability
 * zone. When a zone is taken back, its endpoints return one by one, so that the load and the homes
 * of prompts of a whole zone do not move in one moment. This class is not thread-safe: it is
 * confined to one thread.
 */
public final class EvacuatedZones {

    /** The time in milliseconds within which all endpoints of a zone that is taken back return. */
    static final long RETURN_MILLIS = 4_000;

    /**
     * The time in milliseconds for which an evacuation stays in force that the first set of a later
     * era lacks. The operator writes it again within that time.
     */
    static final long MISSING_MILLIS = 2_000;

    /** The newest known set of evacuated zones. */
    private Evacuations current = Evacuations.UNKNOWN;

    /**
     * The zones whose evacuation the first set of a later era lacks, and the time in milliseconds
     * at which it was received.
     */
    private final Map<String, Long> missingSinceMillis = new HashMap<>();

    /** The time in milliseconds at which each zone was evacuated or taken back. */
    private final Map<String, Long> changedMillis = new HashMap<>();

    /**
     * Accepts a set of evacuated zones unless a newer one is known. An evacuation that the first
     * set of a later era lacks stays in force for a moment.
     *
     * @param evacuations The set.
     * @param nowMillis The current time in milliseconds.
     * @return The zones that are evacuated or taken back by it, possibly none.
     */
    Set<String> accept(Evacuations evacuations, long nowMillis) {
        if (!evacuations.position().isAfter(current.position())) {
            return Set.of();
        }
        Set<String> before = inForce().zones();
        if (evacuations.position().era() > current.position().era()) {
            before.forEach(zone -> missingSinceMillis.put(zone, nowMillis));
        }
        missingSinceMillis.keySet().removeAll(evacuations.zones());
        current = evacuations;
        return recordChanges(before, nowMillis);
    }

    /**
     * Ends the evacuations that were not written again after the store had been restored.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The zones that are taken back by that, possibly none.
     */
    Set<String> removeOverdue(long nowMillis) {
        Set<String> before = inForce().zones();
        missingSinceMillis.values().removeIf(since -> nowMillis - since >= MISSING_MILLIS);
        return recordChanges(before, nowMillis);
    }

    /**
     * Records which zones were evacuated or taken back.
     *
     * @param before The zones that were evacuated before.
     * @param nowMillis The current time in milliseconds.
     * @return The zones, possibly none.
     */
    private Set<String> recordChanges(Set<String> before, long nowMillis) {
        Set<String> changed = Set.copyOf(Sets.symmetricDifference(before, inForce().zones()));
        changed.forEach(zone -> changedMillis.put(zone, nowMillis));
        return changed;
    }

    /**
     * Returns the newest known set of evacuated zones.
     *
     * @return The set, sent to other instances.
     */
    public Evacuations current() {
        return current;
    }

    /**
     * Returns the set of zones whose endpoints get no requests.
     *
     * @return The newest known set, with the zones that it lacks for the moment.
     */
    Evacuations inForce() {
        return missingSinceMillis.isEmpty()
                ? current
                : new Evacuations(
                        current.position(),
                        Sets.union(current.zones(), missingSinceMillis.keySet()));
    }

    /**
     * Returns {@code true} if no request may be sent to an endpoint.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if its zone is evacuated.
     */
    boolean isEvacuated(ServingEndpoint endpoint) {
        return current.zones().contains(endpoint.zone())
                || missingSinceMillis.containsKey(endpoint.zone());
    }

    /**
     * Returns {@code true} if an endpoint of a zone that was taken back should not get requests
     * yet, unless its service has no other endpoint. All instances let the endpoints return in the
     * same order.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} before its turn.
     */
    boolean isReturning(ServingEndpoint endpoint, long nowMillis) {
        return !isEvacuated(endpoint) && nowMillis < returnsAtMillis(endpoint);
    }

    /**
     * Returns the time from which an endpoint gets requests again.
     *
     * @param endpoint The endpoint, whose zone is not evacuated.
     * @return The time in milliseconds, in the past unless its zone was taken back lately.
     */
    long returnsAtMillis(ServingEndpoint endpoint) {
        return sinceMillis(endpoint)
                + Math.floorMod(endpoint.incarnation().hashCode(), RETURN_MILLIS);
    }

    /**
     * Returns the time at which the zone of an endpoint was evacuated or taken back.
     *
     * @param endpoint The endpoint.
     * @return The time in milliseconds, far in the past if that never happened.
     */
    long sinceMillis(ServingEndpoint endpoint) {
        return changedMillis.getOrDefault(endpoint.zone(), Long.MIN_VALUE / 2);
    }
}
