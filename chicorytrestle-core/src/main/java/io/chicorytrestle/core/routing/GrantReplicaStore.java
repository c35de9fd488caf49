package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores replicas of slots that only another leader knows of, for the case that it fails. It also
 * decides when this instance, as leader, sends its own replica. It is thread-safe.
 */
final class GrantReplicaStore {

    /** The interval at which an unchanged replica is sent again, in milliseconds. */
    private static final long RESEND_INTERVAL_MILLIS = 500;

    /** The slots of this instance in the replica that was sent last. */
    private List<LeaderMessage.ReportedSlot> lastSentSlots = List.of();

    /** The time at which that replica was sent, in milliseconds. */
    private long lastSentAtMillis;

    /** The replicas by holder. */
    private final Map<InstanceIdentity, StoredReplica> replicasByHolder = new HashMap<>();

    /**
     * Replaces the replica of a holder.
     *
     * @param replica The replica as received.
     * @param nowMillis The current time in milliseconds.
     */
    synchronized void put(LeaderMessage.GrantReplica replica, long nowMillis) {
        expire(nowMillis);
        long expiresAtMillis = nowMillis + replica.remainingMillis();
        replicasByHolder.put(
                replica.holderIdentity(), new StoredReplica(replica.slots(), expiresAtMillis));
    }

    /**
     * Returns {@code true} if this instance, as leader, has to send its own slots, and then assumes
     * that they are sent now.
     *
     * @param own The slots of this instance.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the slots changed or the resend interval has passed.
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
     * Returns the replicas that have not expired.
     *
     * @param pool The pool's name.
     * @param nowMillis The current time in milliseconds.
     * @return One replica for each holder.
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
     * Removes expired replicas.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void expire(long nowMillis) {
        replicasByHolder.values().removeIf(stored -> stored.expiresAtMillis <= nowMillis);
    }

    /**
     * The replica of one holder's slots.
     *
     * @param slots The slots.
     * @param expiresAtMillis The time until which the slots count, in milliseconds.
     */
    private record StoredReplica(List<LeaderMessage.ReportedSlot> slots, long expiresAtMillis) {}
}
