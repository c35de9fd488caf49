package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers places that only another steward knows of, for the case that it fails. Several threads
 * may call it.
 */
final class GrantReplicaStore {

    /** The time after which unchanged places are shown once more, in milliseconds. */
    private static final long RESEND_INTERVAL_MILLIS = 500;

    /** The places of this instance that were shown last. */
    private List<LeaderMessage.ReportedSlot> lastSentSlots = List.of();

    /** The time at which they were shown in milliseconds. */
    private long lastSentAtMillis;

    /** The places by their holders. */
    private final Map<InstanceIdentity, StoredReplica> replicasByHolder = new HashMap<>();

    /**
     * Replaces what is remembered of a holder.
     *
     * @param shadow The places.
     * @param nowMillis The present time in milliseconds.
     */
    synchronized void put(LeaderMessage.GrantReplica shadow, long nowMillis) {
        expire(nowMillis);
        long untilMillis = nowMillis + shadow.remainingMillis();
        replicasByHolder.put(
                shadow.holderIdentity(), new StoredReplica(shadow.slots(), untilMillis));
    }

    /**
     * Decides whether this instance, being the steward, shows its own places once more.
     *
     * @param own The places of this instance.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the places changed or were shown long ago.
     */
    synchronized boolean isSendDue(LeaderMessage.GrantReplica own, long nowMillis) {
        boolean due =
                !own.slots().equals(lastSentSlots)
                        || nowMillis - lastSentAtMillis >= RESEND_INTERVAL_MILLIS;
        if (due) {
            lastSentSlots = own.slots();
            lastSentAtMillis = nowMillis;
        }
        return due;
    }

    /**
     * Returns what is remembered.
     *
     * @param pool The pool's name.
     * @param nowMillis The present time in milliseconds.
     * @return The places by holder.
     */
    synchronized List<LeaderMessage.GrantReplica> all(String pool, long nowMillis) {
        expire(nowMillis);
        return replicasByHolder.entrySet().stream()
                .map(
                        entry ->
                                LeaderMessage.GrantReplica.of(
                                        pool,
                                        entry.getKey(),
                                        entry.getValue().expiresAtMillis - nowMillis,
                                        entry.getValue().slots))
                .toList();
    }

    /**
     * Forgets what no longer counts.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void expire(long nowMillis) {
        replicasByHolder.values().removeIf(remembered -> remembered.expiresAtMillis <= nowMillis);
    }

    /**
     * Holds what is remembered of a holder.
     *
     * @param slots The places.
     * @param expiresAtMillis The time until which they count, in milliseconds.
     */
    private record StoredReplica(List<LeaderMessage.ReportedSlot> slots, long expiresAtMillis) {}
}
