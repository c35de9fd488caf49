package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the slots that each entry instance occupies on the endpoints of one pool. Each holder has
 * one lease over all its slots, which expires unless it is renewed. It is confined to one thread.
 */
final class AdmissionTracker {

    /**
     * The time for which slots still count after their holder is gone, since the endpoint may still
     * run the work, in milliseconds.
     */
    static final long ORPHAN_RETENTION_MILLIS = 8_000;

    /** The time that a grant takes to reach its holder, in milliseconds. */
    private static final long GRANT_TRANSIT_MILLIS = 5;

    /** The number of slots assumed to be released whose release has not yet reached the leader. */
    private static final int UNCONFIRMED_RELEASES = 1;

    /** The leases by holder. */
    private final Map<InstanceIdentity, Session> sessions = new HashMap<>();

    /** The slots whose holders are gone, though endpoints may still run the work. */
    private final Map<OrphanKey, Orphan> orphanReplicas = new HashMap<>();

    /** The requests in flight by endpoint, without orphans. */
    private final Map<EndpointIdentity, Integer> requestsByEndpoint = new HashMap<>();

    /** The times of the latest grants in milliseconds, oldest first. */
    private final Deque<Long> recentGrantMillis = new ArrayDeque<>();

    /** The requests in flight by workspace, without orphans. */
    private final Map<String, Integer> requestsByWorkspace = new HashMap<>();

    /**
     * Returns {@code true} if an entry instance has an unexpired lease.
     *
     * @param holder The entry instance.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the lease is valid.
     */
    boolean hasLease(InstanceIdentity holder, long nowMillis) {
        Session session = sessions.get(holder);
        return session != null && nowMillis < session.expiresAtMillis;
    }

    /**
     * Returns the entry instances that hold a lease.
     *
     * @return The entry instances.
     */
    Set<InstanceIdentity> leaseHolders() {
        return new HashSet<>(sessions.keySet());
    }

    /**
     * Adds the slots of an entry instance that is gone, as a replica reports them. Does nothing if
     * the instance holds a lease.
     *
     * @param holder The entry instance.
     * @param slots The slots that it held.
     * @param expiresAtMillis The time until which endpoints may run the work, in milliseconds.
     */
    void addOrphans(
            InstanceIdentity holder, List<LeaderMessage.ReportedSlot> slots, long expiresAtMillis) {
        if (sessions.containsKey(holder)) {
            return;
        }
        for (LeaderMessage.ReportedSlot slot : slots) {
            orphanReplicas.put(
                    new OrphanKey(holder, slot.requestNumber()),
                    new Orphan(Slot.of(slot), expiresAtMillis));
        }
    }

    /**
     * Returns replicas of the slots whose holders are gone or whose leases are about to expire.
     *
     * @param pool The pool's name.
     * @param suspectBelowMillis The remaining time of a lease below which its holder may be gone,
     *     in milliseconds.
     * @param nowMillis The current time in milliseconds.
     * @return One replica for each holder.
     */
    List<LeaderMessage.GrantReplica> orphanReplicas(
            String pool, long suspectBelowMillis, long nowMillis) {
        Map<InstanceIdentity, LeaderMessage.GrantReplica> replicas = new HashMap<>();
        orphanReplicas.forEach(
                (key, orphan) ->
                        replicas.computeIfAbsent(
                                        key.holder,
                                        holder ->
                                                LeaderMessage.GrantReplica.of(
                                                        pool,
                                                        holder,
                                                        orphan.expiresAtMillis - nowMillis,
                                                        new ArrayList<>()))
                                .slots()
                                .add(orphan.slot.toReportedSlot(key.requestNumber)));
        sessions.forEach(
                (holder, session) -> {
                    if (session.expiresAtMillis - nowMillis < suspectBelowMillis) {
                        replicas.put(holder, session.toReplica(pool, holder));
                    }
                });
        return List.copyOf(replicas.values());
    }

    /**
     * Replaces the slots of an entry instance and starts a lease. Slots of earlier incarnations of
     * the instance become orphans.
     *
     * @param holder The entry instance.
     * @param slots The slots that it holds.
     * @param expiresAtMillis The end of its lease in milliseconds.
     */
    void join(
            InstanceIdentity holder, List<LeaderMessage.ReportedSlot> slots, long expiresAtMillis) {
        removeHolder(holder);
        orphanReplicas.keySet().removeIf(key -> key.holder.equals(holder));
        sessions.keySet().stream()
                .filter(other -> other.name().equals(holder.name()))
                .toList()
                .forEach(earlier -> moveToOrphans(earlier, expiresAtMillis));
        sessions.put(holder, new Session(expiresAtMillis));
        for (LeaderMessage.ReportedSlot slot : slots) {
            grant(holder, slot.requestNumber(), Slot.of(slot));
        }
    }

    /**
     * Renews the lease of an entry instance and releases the slots that it no longer lists.
     *
     * @param holder The entry instance, which has joined.
     * @param lastNumber The request number that it used last. Slots of larger numbers are kept,
     *     since their grants may still be in transit.
     * @param requestNumbers The request numbers that it holds or waits for.
     * @param expiresAtMillis The end of its lease in milliseconds.
     */
    void renew(
            InstanceIdentity holder,
            long lastNumber,
            Collection<Long> requestNumbers,
            long expiresAtMillis) {
        Session session = sessions.get(holder);
        if (session == null) {
            return;
        }
        session.expiresAtMillis = expiresAtMillis;
        Set<Long> known = new HashSet<>(requestNumbers);
        List<Long> unknown =
                session.slotsByNumber.keySet().stream()
                        .filter(
                                requestNumber ->
                                        requestNumber <= lastNumber
                                                && !known.contains(requestNumber))
                        .toList();
        unknown.forEach(requestNumber -> release(holder, requestNumber));
    }

    /**
     * Records a slot. Does nothing if the holder has no lease or already has a slot of that number.
     *
     * @param holder The entry instance, which has joined.
     * @param requestNumber The number of the request at its holder.
     * @param slot The slot.
     */
    void grant(InstanceIdentity holder, long requestNumber, Slot slot) {
        Session session = sessions.get(holder);
        if (session != null && session.slotsByNumber.putIfAbsent(requestNumber, slot) == null) {
            requestsByEndpoint.merge(slot.endpoint, 1, Integer::sum);
            requestsByWorkspace.merge(slot.workspace, 1, Integer::sum);
        }
    }

    /**
     * Records the time of a grant, for {@link #unconfirmedSlots}.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void recordGrantTime(long nowMillis) {
        recentGrantMillis.addLast(nowMillis);
    }

    /**
     * Returns the number of counted slots that may not be in use yet or any longer.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The number of slots: recent grants and unconfirmed releases.
     */
    long unconfirmedSlots(long nowMillis) {
        while (!recentGrantMillis.isEmpty()
                && nowMillis - recentGrantMillis.getFirst() > GRANT_TRANSIT_MILLIS) {
            recentGrantMillis.removeFirst();
        }
        return (long) recentGrantMillis.size() + UNCONFIRMED_RELEASES;
    }

    /**
     * Releases a slot.
     *
     * @param holder The entry instance.
     * @param requestNumber The number of the request at its holder.
     * @return The slot, or {@code null} if the holder has none of that number.
     */
    @Nullable Slot release(InstanceIdentity holder, long requestNumber) {
        Session session = sessions.get(holder);
        Slot slot = session == null ? null : session.slotsByNumber.remove(requestNumber);
        if (slot != null) {
            decrement(requestsByEndpoint, slot.endpoint);
            decrement(requestsByWorkspace, slot.workspace);
        }
        return slot;
    }

    /**
     * Removes the entry instances whose leases have expired. Their slots count as orphans for a
     * while, since endpoints may still run the work.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void expireLeases(long nowMillis) {
        sessions.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMillis <= nowMillis)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(holder -> moveToOrphans(holder, nowMillis));
        orphanReplicas.values().removeIf(orphan -> orphan.expiresAtMillis <= nowMillis);
    }

    /**
     * Removes an entry instance and keeps its slots as orphans.
     *
     * @param holder The entry instance.
     * @param retainedFromMillis The time from which the retention of the orphans counts, in
     *     milliseconds.
     */
    private void moveToOrphans(InstanceIdentity holder, long retainedFromMillis) {
        Session session = sessions.get(holder);
        if (session != null) {
            session.slotsByNumber.forEach(
                    (requestNumber, slot) ->
                            orphanReplicas.put(
                                    new OrphanKey(holder, requestNumber),
                                    new Orphan(
                                            slot, retainedFromMillis + ORPHAN_RETENTION_MILLIS)));
        }
        removeHolder(holder);
    }

    /** Removes all holders, slots and orphans. */
    void clear() {
        sessions.clear();
        orphanReplicas.clear();
        requestsByEndpoint.clear();
        requestsByWorkspace.clear();
    }

    /**
     * Returns the requests that are known to be in flight on an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The requests in flight, without orphans.
     */
    int inFlightRequests(EndpointIdentity endpoint) {
        return requestsByEndpoint.getOrDefault(endpoint, 0);
    }

    /**
     * Returns the maximum number of requests that may be in flight on an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The requests in flight, including orphans.
     */
    int maximumInFlightRequests(EndpointIdentity endpoint) {
        long orphaned =
                orphanReplicas.values().stream()
                        .filter(orphan -> orphan.slot.endpoint.equals(endpoint))
                        .count();
        return inFlightRequests(endpoint) + (int) orphaned;
    }

    /**
     * Returns the maximum number of requests that a workspace may have in flight.
     *
     * @param workspace The workspace.
     * @return The requests in flight, including orphans.
     */
    int inFlightRequests(String workspace) {
        long orphaned =
                orphanReplicas.values().stream()
                        .filter(orphan -> orphan.slot.workspace.equals(workspace))
                        .count();
        return requestsByWorkspace.getOrDefault(workspace, 0) + (int) orphaned;
    }

    /**
     * Removes an entry instance with its lease and slots.
     *
     * @param holder The entry instance.
     */
    private void removeHolder(InstanceIdentity holder) {
        Session session = sessions.get(holder);
        if (session != null) {
            List.copyOf(session.slotsByNumber.keySet())
                    .forEach(requestNumber -> release(holder, requestNumber));
            sessions.remove(holder);
        }
    }

    /**
     * Decrements a count and removes it at zero.
     *
     * @param counts The counts.
     * @param key The key of the count.
     * @param <K> The type of the keys.
     */
    private static <K> void decrement(Map<K, Integer> counts, K key) {
        int current = counts.getOrDefault(key, 0);
        if (current <= 1) {
            counts.remove(key);
        } else {
            counts.put(key, current - 1);
        }
    }

    /**
     * An occupied slot on an endpoint.
     *
     * @param endpoint The endpoint.
     * @param workspace The workspace that the slot counts against.
     */
    record Slot(EndpointIdentity endpoint, String workspace) {

        /**
         * Converts a slot from its message form.
         *
         * @param slot The slot as reported.
         * @return The slot.
         */
        static Slot of(LeaderMessage.ReportedSlot slot) {
            return new Slot(
                    new EndpointIdentity(slot.endpointName(), slot.incarnation()),
                    slot.workspace());
        }

        /**
         * Converts this slot to its message form.
         *
         * @param requestNumber The number of the request.
         * @return The slot as reported.
         */
        LeaderMessage.ReportedSlot toReportedSlot(long requestNumber) {
            return new LeaderMessage.ReportedSlot(
                    requestNumber, endpoint.name(), endpoint.incarnation(), workspace);
        }
    }

    /**
     * Identifies a slot whose holder is gone.
     *
     * @param holder The entry instance that held it.
     * @param requestNumber The number of the request at its holder.
     */
    private record OrphanKey(InstanceIdentity holder, long requestNumber) {}

    /**
     * A slot whose holder is gone.
     *
     * @param slot The slot.
     * @param expiresAtMillis The time until which an endpoint may run the work, in milliseconds.
     */
    private record Orphan(Slot slot, long expiresAtMillis) {}

    /** The lease of one entry instance with its slots. */
    private static final class Session {

        /** The slots by request number. */
        private final Map<Long, Slot> slotsByNumber = new HashMap<>();

        /** The end of the lease in milliseconds. */
        private long expiresAtMillis;

        /**
         * Returns a replica of the slots for a standby leader.
         *
         * @param pool The pool's name.
         * @param holder The holder.
         * @return The replica.
         */
        private LeaderMessage.GrantReplica toReplica(String pool, InstanceIdentity holder) {
            List<LeaderMessage.ReportedSlot> slots = new ArrayList<>();
            slotsByNumber.forEach(
                    (requestNumber, slot) -> slots.add(slot.toReportedSlot(requestNumber)));
            return LeaderMessage.GrantReplica.of(pool, holder, ORPHAN_RETENTION_MILLIS, slots);
        }

        /**
         * Creates a session without slots.
         *
         * @param expiresAtMillis The end of the lease in milliseconds.
         */
        private Session(long expiresAtMillis) {
            this.expiresAtMillis = expiresAtMillis;
        }
    }
}
