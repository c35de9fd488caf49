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
 * Counts what each entry instance holds on the endpoints of one pool. Each holder has a lease over
 * all that it holds, which expires unless it is renewed. It is confined to one thread.
 */
final class AdmissionTracker {

    /** The time for which an endpoint may run work whose holder is gone, in milliseconds. */
    static final long ORPHAN_RETENTION_MILLIS = 8_000;

    /** The time that a grant needs to reach its holder, in milliseconds. */
    private static final long GRANT_TRANSIT_MILLIS = 5;

    /** The places that were handed back but of which the steward may not have heard. */
    private static final int UNCONFIRMED_RELEASES = 1;

    /** The holders with what they hold. */
    private final Map<InstanceIdentity, Session> sessions = new HashMap<>();

    /** The places whose holders are gone, though endpoints may still run the work. */
    private final Map<OrphanKey, Orphan> orphans = new HashMap<>();

    /** The requests in flight by endpoint. */
    private final Map<EndpointIdentity, Integer> requestsByEndpoint = new HashMap<>();

    /** The times of the latest grants in milliseconds, oldest first. */
    private final Deque<Long> recentGrantMillis = new ArrayDeque<>();

    /** The requests in flight by workspace. */
    private final Map<String, Integer> requestsByWorkspace = new HashMap<>();

    /**
     * Returns {@code true} if an entry instance has an unexpired lease.
     *
     * @param holder The entry instance.
     * @param nowMillis The present time in milliseconds.
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
     * Takes in the places of an entry instance that is gone.
     *
     * @param holder The entry instance.
     * @param slots The places that it held.
     * @param untilMillis The time until which endpoints may run the work, in milliseconds.
     */
    void addOrphans(
            InstanceIdentity holder, List<LeaderMessage.ReportedSlot> slots, long untilMillis) {
        if (sessions.containsKey(holder)) {
            return;
        }
        for (LeaderMessage.ReportedSlot slot : slots) {
            orphans.put(
                    new OrphanKey(holder, slot.requestNumber()),
                    new Orphan(Slot.of(slot), untilMillis));
        }
    }

    /**
     * Returns the places whose holders are gone or may be.
     *
     * @param pool The pool's name.
     * @param silentMillis The rest of a lease below which its holder may be gone, in milliseconds.
     * @param nowMillis The present time in milliseconds.
     * @return The places by holder.
     */
    List<LeaderMessage.GrantReplica> orphans(String pool, long silentMillis, long nowMillis) {
        Map<InstanceIdentity, LeaderMessage.GrantReplica> shadows = new HashMap<>();
        orphans.forEach(
                (key, orphan) ->
                        shadows.computeIfAbsent(
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
                    if (session.expiresAtMillis - nowMillis < silentMillis) {
                        shadows.put(holder, session.toReplica(pool, holder));
                    }
                });
        return List.copyOf(shadows.values());
    }

    /**
     * Replaces all that an entry instance holds.
     *
     * @param holder The entry instance.
     * @param slots The places that it holds.
     * @param untilMillis The end of its lease in milliseconds.
     */
    void join(InstanceIdentity holder, List<LeaderMessage.ReportedSlot> slots, long untilMillis) {
        removeHolder(holder);
        orphans.keySet().removeIf(key -> key.holder.equals(holder));
        sessions.keySet().stream()
                .filter(other -> other.name().equals(holder.name()))
                .toList()
                .forEach(earlier -> moveToOrphans(earlier, untilMillis));
        sessions.put(holder, new Session(untilMillis));
        for (LeaderMessage.ReportedSlot slot : slots) {
            grant(holder, slot.requestNumber(), Slot.of(slot));
        }
    }

    /**
     * Renews the lease of an entry instance and drops what it no longer knows of.
     *
     * @param holder The entry instance, which has joined.
     * @param highestNumber The number that it used last.
     * @param numbers The numbers that it holds or asks for.
     * @param untilMillis The end of its lease in milliseconds.
     */
    void renew(
            InstanceIdentity holder,
            long highestNumber,
            Collection<Long> numbers,
            long untilMillis) {
        Session session = sessions.get(holder);
        if (session == null) {
            return;
        }
        session.expiresAtMillis = untilMillis;
        Set<Long> known = new HashSet<>(numbers);
        List<Long> unknown =
                session.slotsByNumber.keySet().stream()
                        .filter(number -> number <= highestNumber && !known.contains(number))
                        .toList();
        unknown.forEach(number -> release(holder, number));
    }

    /**
     * Takes note of a place.
     *
     * @param holder The entry instance, which has joined.
     * @param number The number of the request at its holder.
     * @param place The place.
     */
    void grant(InstanceIdentity holder, long number, Slot place) {
        Session session = sessions.get(holder);
        if (session != null && session.slotsByNumber.putIfAbsent(number, place) == null) {
            requestsByEndpoint.merge(place.endpoint, 1, Integer::sum);
            requestsByWorkspace.merge(place.workspace, 1, Integer::sum);
        }
    }

    /**
     * Takes note that a place was granted just now.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void recordGrantTime(long nowMillis) {
        recentGrantMillis.addLast(nowMillis);
    }

    /**
     * Returns the places that may not be in use yet or no longer, though they are counted.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The number of places.
     */
    long unconfirmedSlots(long nowMillis) {
        while (!recentGrantMillis.isEmpty()
                && nowMillis - recentGrantMillis.getFirst() > GRANT_TRANSIT_MILLIS) {
            recentGrantMillis.removeFirst();
        }
        return (long) recentGrantMillis.size() + UNCONFIRMED_RELEASES;
    }

    /**
     * Takes a place back.
     *
     * @param holder The entry instance.
     * @param number The number of the request at its holder.
     * @return The place, or {@code null} if the holder has none of that number.
     */
    @Nullable Slot release(InstanceIdentity holder, long number) {
        Session session = sessions.get(holder);
        Slot place = session == null ? null : session.slotsByNumber.remove(number);
        if (place != null) {
            decrement(requestsByEndpoint, place.endpoint);
            decrement(requestsByWorkspace, place.workspace);
        }
        return place;
    }

    /**
     * Drops the entry instances whose leases have expired. What they held still counts for a while,
     * since endpoints may run it.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void expireLeases(long nowMillis) {
        sessions.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMillis <= nowMillis)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(holder -> moveToOrphans(holder, nowMillis));
        orphans.values().removeIf(orphan -> orphan.expiresAtMillis <= nowMillis);
    }

    /**
     * Drops an entry instance and keeps its places as orphans.
     *
     * @param holder The entry instance.
     * @param nowMillis The present time in milliseconds.
     */
    private void moveToOrphans(InstanceIdentity holder, long nowMillis) {
        Session session = sessions.get(holder);
        if (session != null) {
            session.slotsByNumber.forEach(
                    (number, place) ->
                            orphans.put(
                                    new OrphanKey(holder, number),
                                    new Orphan(place, nowMillis + ORPHAN_RETENTION_MILLIS)));
        }
        removeHolder(holder);
    }

    /** Forgets everything. */
    void clear() {
        sessions.clear();
        orphans.clear();
        requestsByEndpoint.clear();
        requestsByWorkspace.clear();
    }

    /**
     * Returns the requests in flight on an endpoint that are surely there.
     *
     * @param endpoint The endpoint.
     * @return The requests in flight, without those whose holders are gone.
     */
    int inFlightRequests(EndpointIdentity endpoint) {
        return requestsByEndpoint.getOrDefault(endpoint, 0);
    }

    /**
     * Returns the most requests that may be in flight on an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The requests in flight, with those whose holders are gone.
     */
    int maximumInFlightRequests(EndpointIdentity endpoint) {
        long gone =
                orphans.values().stream()
                        .filter(orphan -> orphan.slot.endpoint.equals(endpoint))
                        .count();
        return inFlightRequests(endpoint) + (int) gone;
    }

    /**
     * Returns the most requests that a workspace may have in flight.
     *
     * @param workspace The workspace.
     * @return The requests in flight, with those whose holders are gone.
     */
    int inFlightRequests(String workspace) {
        long gone =
                orphans.values().stream()
                        .filter(orphan -> orphan.slot.workspace.equals(workspace))
                        .count();
        return requestsByWorkspace.getOrDefault(workspace, 0) + (int) gone;
    }

    /**
     * Drops an entry instance with all that it holds.
     *
     * @param holder The entry instance.
     */
    private void removeHolder(InstanceIdentity holder) {
        Session session = sessions.get(holder);
        if (session != null) {
            List.copyOf(session.slotsByNumber.keySet()).forEach(number -> release(holder, number));
            sessions.remove(holder);
        }
    }

    /**
     * Takes one from a count and forgets a count of zero.
     *
     * @param counts The counts.
     * @param key The key of the count.
     * @param <K> The type of the keys.
     */
    private static <K> void decrement(Map<K, Integer> counts, K key) {
        int present = counts.getOrDefault(key, 0);
        if (present <= 1) {
            counts.remove(key);
        } else {
            counts.put(key, present - 1);
        }
    }

    /**
     * Holds a place on an endpoint.
     *
     * @param endpoint The endpoint.
     * @param workspace The workspace that the place is counted for.
     */
    record Slot(EndpointIdentity endpoint, String workspace) {

        /**
         * Returns the place of a reported slot.
         *
         * @param slot The slot.
         * @return The place.
         */
        static Slot of(LeaderMessage.ReportedSlot slot) {
            return new Slot(
                    new EndpointIdentity(slot.endpointName(), slot.incarnation()),
                    slot.workspace());
        }

        /**
         * Returns the place as it is reported.
         *
         * @param number The number of the request.
         * @return The slot.
         */
        LeaderMessage.ReportedSlot toReportedSlot(long number) {
            return new LeaderMessage.ReportedSlot(
                    number, endpoint.name(), endpoint.incarnation(), workspace);
        }
    }

    /**
     * Names a place whose holder is gone.
     *
     * @param holder The entry instance that held it.
     * @param requestNumber The number of the request at its holder.
     */
    private record OrphanKey(InstanceIdentity holder, long requestNumber) {}

    /**
     * Holds a place whose holder is gone.
     *
     * @param slot The place.
     * @param expiresAtMillis The time until which an endpoint may run the work, in milliseconds.
     */
    private record Orphan(Slot slot, long expiresAtMillis) {}

    /** Holds the lease of one entry instance. */
    private static final class Session {

        /** The places by the numbers of their requests. */
        private final Map<Long, Slot> slotsByNumber = new HashMap<>();

        /** The end of the lease in milliseconds. */
        private long expiresAtMillis;

        /**
         * Returns the places for another steward.
         *
         * @param pool The pool's name.
         * @param holder The holder.
         * @return The places.
         */
        private LeaderMessage.GrantReplica toReplica(String pool, InstanceIdentity holder) {
            List<LeaderMessage.ReportedSlot> slots = new ArrayList<>();
            slotsByNumber.forEach((number, place) -> slots.add(place.toReportedSlot(number)));
            return LeaderMessage.GrantReplica.of(pool, holder, ORPHAN_RETENTION_MILLIS, slots);
        }

        /**
         * Creates a new session.
         *
         * @param untilMillis The end of the lease in milliseconds.
         */
        private Session(long untilMillis) {
            this.expiresAtMillis = untilMillis;
        }
    }
}
