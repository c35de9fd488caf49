package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Judges which availability zones are out of reach: those of which neither an instance nor an
 * endpoint was heard lately, while the own zone is heard. It is confined to one thread.
 */
public final class ZoneReachability {

    /**
     * The silence in milliseconds after which a zone is out of reach: two lost beats and a half.
     */
    private static final long CONTACT_TIMEOUT_MILLIS = 1_000;

    /** The own zone. */
    private final String ownZone;

    /** The last sign of life of any instance or endpoint of a zone, in milliseconds. */
    private final Map<String, Long> recordContact = new HashMap<>();

    /**
     * Creates a new judgement.
     *
     * @param ownZone The own zone.
     */
    public ZoneReachability(String ownZone) {
        this.ownZone = ownZone;
    }

    /**
     * Takes note of a sign of life.
     *
     * @param zone The zone of the instance or endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordContact(String zone, long nowMillis) {
        recordContact.put(zone, nowMillis);
    }

    /**
     * Expects no more signs of life for now, since the last instance of a zone is about to end.
     *
     * @param zone The zone.
     */
    public void removeZone(String zone) {
        recordContact.remove(zone);
    }

    /**
     * Returns the zones that are out of reach.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The zones.
     */
    public Set<String> unreachable(long nowMillis) {
        if (isSilent(ownZone, nowMillis)) {
            return Set.of();
        }
        Set<String> silent = new HashSet<>();
        for (String zone : recordContact.keySet()) {
            if (isSilent(zone, nowMillis)) {
                silent.add(zone);
            }
        }
        return silent;
    }

    /**
     * Returns {@code true} if nothing of a zone was heard lately.
     *
     * @param zone The zone.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if nothing of the zone was heard lately.
     */
    private boolean isSilent(String zone, long nowMillis) {
        Long heardMillis = recordContact.get(zone);
        return heardMillis == null || nowMillis - heardMillis > CONTACT_TIMEOUT_MILLIS;
    }
}
