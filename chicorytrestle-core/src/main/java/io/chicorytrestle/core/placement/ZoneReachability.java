package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Determines which availability zones are unreachable: those from which no message of an instance
 * or endpoint arrived lately, although messages from the own zone did. This class is not
 * thread-safe: it is confined to one thread.
 */
public final class ZoneReachability {

    /**
     * The time without contact in milliseconds after which a zone is unreachable: two and a half
     * lost heartbeats.
     */
    private static final long CONTACT_TIMEOUT_MILLIS = 1_000;

    /** The zone of this instance. */
    private final String ownZone;

    /** The time in milliseconds of the last contact with any instance or endpoint, by zone. */
    private final Map<String, Long> lastContactMillis = new HashMap<>();

    /**
     * Creates a new tracker without any contact.
     *
     * @param ownZone The zone of this instance.
     */
    public ZoneReachability(String ownZone) {
        this.ownZone = ownZone;
    }

    /**
     * Records contact with an instance or endpoint of a zone.
     *
     * @param zone The zone of the instance or endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordContact(String zone, long nowMillis) {
        lastContactMillis.put(zone, nowMillis);
    }

    /**
     * Removes a zone until the next contact with it, since its last instance is about to shut down
     * and its silence does not mean that the zone is unreachable.
     *
     * @param zone The zone.
     */
    public void removeZone(String zone) {
        lastContactMillis.remove(zone);
    }

    /**
     * Returns the unreachable zones. None is unreachable while the own zone is silent as well,
     * since then this instance itself is isolated.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The names of the zones, possibly empty.
     */
    public Set<String> unreachable(long nowMillis) {
        if (isSilent(ownZone, nowMillis)) {
            return Set.of();
        }
        Set<String> silent = new HashSet<>();
        for (String zone : lastContactMillis.keySet()) {
            if (isSilent(zone, nowMillis)) {
                silent.add(zone);
            }
        }
        return silent;
    }

    /**
     * Returns {@code true} if there was no contact with a zone lately.
     *
     * @param zone The zone.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if there was no contact within the time-out or none at all.
     */
    private boolean isSilent(String zone, long nowMillis) {
        Long contactMillis = lastContactMillis.get(zone);
        return contactMillis == null || nowMillis - contactMillis > CONTACT_TIMEOUT_MILLIS;
    }
}
