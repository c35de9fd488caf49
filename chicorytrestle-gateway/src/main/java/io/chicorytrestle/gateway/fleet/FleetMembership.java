package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.fleet.ReaderRole;
import io.chicorytrestle.core.fleet.ReaderSelection;
import io.chicorytrestle.core.fleet.RelayTree;
import io.chicorytrestle.core.fleet.StoreContact;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Tracks the known instances and selects the targets of the next heartbeat. It is confined to one
 * thread.
 */
final class FleetMembership {

    /**
     * The number of other instances up to which every heartbeat is sent to all; beyond it,
     * heartbeats go to a random subset.
     */
    static final int FULL_BROADCAST_INSTANCES = 24;

    /**
     * The number of instances to which a heartbeat is sent in a larger fleet, so that its cost is
     * constant.
     */
    static final int FANOUT = 12;

    /**
     * The interval in rounds at which an instance of a larger fleet sends a heartbeat; each still
     * receives many at any time. Readers of the store send one every round, because their zone
     * depends on them.
     */
    private static final int LARGE_FLEET_INTERVAL = 2;

    /**
     * The time in milliseconds without a heartbeat after which an instance counts as unreachable:
     * two heartbeats at the longest interval. It grows with the size of a larger fleet, in which
     * heartbeats go to a random subset.
     */
    static final long REACHABLE_MILLIS = 2_800;

    /**
     * The time in milliseconds that a larger fleet adds to {@link #REACHABLE_MILLIS} for each
     * multiple of the fan-out, enough for several heartbeats.
     */
    private static final long REACHABLE_MILLIS_PER_FANOUT = 2_400;

    /** The longest interval in rounds between heartbeats to one instance of another zone. */
    private static final int MAXIMUM_CROSS_ZONE_INTERVAL = 3;

    /**
     * The number of instances of the own zone that lengthen the interval between heartbeats to one
     * instance of another zone by one round. Since the instances take turns, the other still
     * receives a heartbeat from one of them every round.
     */
    private static final int INSTANCES_PER_INTERVAL_STEP = 3;

    /**
     * The time in milliseconds without a heartbeat after which a reader of the own zone is no
     * longer relied on.
     */
    static final long STORE_READER_TIMEOUT_MILLIS = 1_300;

    /**
     * The time in milliseconds without a heartbeat after which a reader of another zone is no
     * longer relied on: the longest interval between heartbeats to it, and a lost one.
     */
    private static final long FLEET_READER_TIMEOUT_MILLIS = 2_000;

    /**
     * The time in milliseconds without a heartbeat after which an instance is removed, counted from
     * its first mention by a peer if it never sent one.
     */
    static final long EXPIRY_MILLIS = 20_000;

    /**
     * The number of peers listed in a heartbeat, so that a new instance becomes known everywhere
     * within a few heartbeats.
     */
    private static final int GOSSIPED_PEERS = 6;

    /** The probability with which a heartbeat is still sent to an unreachable instance. */
    private static final double UNREACHABLE_PROBE_PROBABILITY = 0.25;

    /** The address and zone of this instance. */
    private final PeerAddress self;

    /** The addresses of instances to contact first. */
    private List<String> seeds;

    /** Selects random targets and peers. */
    private final Random random;

    /** The known other instances by address. */
    private final Map<String, Member> members = new HashMap<>();

    /** The number of heartbeat rounds so far, including those in which none was sent. */
    private int heartbeatRounds;

    /**
     * Creates a membership without other instances.
     *
     * @param self The address and zone of this instance.
     * @param seeds The addresses of instances to contact first; that of this instance is ignored.
     * @param random Selects random targets and peers.
     */
    FleetMembership(PeerAddress self, List<String> seeds, Random random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /**
     * Replaces the addresses of instances to contact first.
     *
     * @param replacement The new addresses.
     */
    void replaceSeeds(List<String> replacement) {
        seeds = List.copyOf(replacement);
    }

    /**
     * Records a heartbeat and the peers it lists. The sender is removed if it is shutting down.
     *
     * @param heartbeat The heartbeat.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the sender was unknown or unreachable before.
     */
    boolean recordHeartbeat(Heartbeat heartbeat, long nowMillis) {
        heartbeat.peers().forEach(peer -> recordGossipedPeer(peer, nowMillis));
        if (heartbeat.sender().address().equals(self.address())) {
            return false;
        }
        if (heartbeat.isEnding()) {
            members.remove(heartbeat.sender().address());
            return false;
        }
        Member previous =
                members.put(
                        heartbeat.sender().address(),
                        new Member(
                                heartbeat.sender(),
                                heartbeat.storeContact(),
                                heartbeat.endpointPosition().era(),
                                nowMillis,
                                nowMillis));
        return previous == null || !isReachable(previous, nowMillis);
    }

    /**
     * Adds an instance that a peer listed, as unreachable until its first heartbeat.
     *
     * @param peer The address and zone of the instance.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordGossipedPeer(PeerAddress peer, long nowMillis) {
        if (!peer.address().equals(self.address())) {
            members.putIfAbsent(
                    peer.address(),
                    new Member(peer, StoreContact.FOLLOWING, 0, Long.MIN_VALUE / 2, nowMillis));
        }
    }

    /**
     * Removes instances without a recent heartbeat or mention.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void expire(long nowMillis) {
        members.values()
                .removeIf(
                        member ->
                                nowMillis - member.lastHeartbeatMillis() > EXPIRY_MILLIS
                                        && nowMillis - member.lastRecordedMillis() > EXPIRY_MILLIS);
    }

    /**
     * Begins the next round and selects the targets of its heartbeat.
     *
     * @param contact How this instance receives endpoint changes; a reader of the store sends to
     *     its whole zone.
     * @param nowMillis The current time in milliseconds.
     * @return The addresses, possibly none.
     */
    List<String> nextTargets(StoreContact contact, long nowMillis) {
        heartbeatRounds++;
        boolean isSkippedRound =
                members.size() > FULL_BROADCAST_INSTANCES
                        && heartbeatRounds % LARGE_FLEET_INTERVAL != 0;
        if (isSkippedRound && contact != StoreContact.READING) {
            return List.of();
        }
        List<String> targets = new ArrayList<>();
        int interval = crossZoneInterval();
        for (Member member : members.values()) {
            boolean isReachable = isReachable(member, nowMillis);
            boolean isDue =
                    member.peer().zone().equals(self.zone())
                            || isHeartbeatDue(member.peer(), interval);
            if (isReachable && !isDue) {
                continue;
            }
            if (isReachable || random.nextDouble() < UNREACHABLE_PROBE_PROBABILITY) {
                targets.add(member.peer().address());
            }
        }
        for (String seed : seeds) {
            boolean isNew = !members.containsKey(seed) && !seed.equals(self.address());
            if (isNew
                    && (members.isEmpty() || random.nextDouble() < UNREACHABLE_PROBE_PROBABILITY)) {
                targets.add(seed);
            }
        }
        if (targets.size() <= FULL_BROADCAST_INSTANCES) {
            return targets;
        }
        Collections.shuffle(targets, random);
        Set<String> selected = new LinkedHashSet<>(targets.subList(0, FANOUT));
        if (contact == StoreContact.READING) {
            selected.addAll(reachableZoneAddresses(nowMillis));
        }
        return List.copyOf(selected);
    }

    /**
     * Returns {@code true} if this round's heartbeat goes to an instance of another zone. The
     * rounds are shifted by the addresses, so that instances which started together take turns and
     * the other receives a heartbeat from one of them every round.
     *
     * @param peer The instance of another zone.
     * @param interval The interval in rounds between heartbeats to it.
     * @return {@code true} if it is due.
     */
    private boolean isHeartbeatDue(PeerAddress peer, int interval) {
        int shift = peer.address().hashCode() + self.address().hashCode();
        return Math.floorMod(shift + heartbeatRounds, interval) == 0;
    }

    /**
     * Returns the interval in rounds between heartbeats to one instance of another zone. It grows
     * with the own zone, since the more instances another zone receives heartbeats from, the fewer
     * each needs to send.
     *
     * @return The number of rounds, at least one.
     */
    private int crossZoneInterval() {
        long zonePeers =
                members.values().stream()
                        .filter(member -> member.peer().zone().equals(self.zone()))
                        .count();
        return (int)
                Math.max(
                        1,
                        Math.min(
                                MAXIMUM_CROSS_ZONE_INTERVAL,
                                (zonePeers + 1) / INSTANCES_PER_INTERVAL_STEP));
    }

    /**
     * Decides which part this instance has in reading the store for its zone. In a fleet whose
     * heartbeats go to all, one primary reader serves all zones that hear from it.
     *
     * @param ownContact How it receives endpoint changes now.
     * @param knownEra The era of the store from which it knows the endpoints.
     * @param nowMillis The current time in milliseconds.
     * @return The role.
     */
    ReaderRole readerRole(StoreContact ownContact, long knownEra, long nowMillis) {
        return ReaderSelection.roleOf(
                self.name(),
                ownContact,
                zoneStoreContacts(knownEra, nowMillis),
                isBroadcasting() ? readers(knownEra, nowMillis) : List.of());
    }

    /**
     * Returns how the other instances of the zone receive endpoint changes.
     *
     * @param knownEra The era of the store from which this instance knows the endpoints; readers
     *     that know only an earlier one count as having lost the store.
     * @param nowMillis The current time in milliseconds.
     * @return The contact of each instance with a recent heartbeat, by name.
     */
    Map<String, StoreContact> zoneStoreContacts(long knownEra, long nowMillis) {
        Map<String, StoreContact> contacts = new HashMap<>();
        for (Member member : members.values()) {
            boolean isRecent =
                    nowMillis - member.lastHeartbeatMillis() <= STORE_READER_TIMEOUT_MILLIS;
            if (isRecent && member.peer().zone().equals(self.zone())) {
                contacts.put(member.peer().name(), member.storeContactIn(knownEra));
            }
        }
        return contacts;
    }

    /**
     * Returns {@code true} if every heartbeat of every instance goes to all others.
     *
     * @return {@code true} unless the fleet is too large for that.
     */
    boolean isBroadcasting() {
        return members.size() <= FULL_BROADCAST_INSTANCES;
    }

    /**
     * Returns the other instances of any zone that read the store.
     *
     * @param knownEra The era of the store from which this instance knows the endpoints; readers
     *     that know only an earlier one are left out.
     * @param nowMillis The current time in milliseconds.
     * @return The names of those with a recent heartbeat.
     */
    List<String> readers(long knownEra, long nowMillis) {
        return members.values().stream()
                .filter(member -> member.storeContactIn(knownEra) == StoreContact.READING)
                .filter(
                        member ->
                                nowMillis - member.lastHeartbeatMillis()
                                        <= FLEET_READER_TIMEOUT_MILLIS)
                .map(member -> member.peer().name())
                .toList();
    }

    /**
     * Returns the names of the known other instances.
     *
     * @return The names, also of instances that are unreachable.
     */
    List<String> names() {
        return members.values().stream().map(member -> member.peer().name()).toList();
    }

    /**
     * Returns the addresses of the reachable other instances.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The addresses in no particular order.
     */
    List<String> reachableAddresses(long nowMillis) {
        return reachablePeers(nowMillis).stream().map(PeerAddress::address).toList();
    }

    /**
     * Returns the reachable other instances.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The instances in no particular order.
     */
    List<PeerAddress> reachablePeers(long nowMillis) {
        return members.values().stream()
                .filter(member -> isReachable(member, nowMillis))
                .map(Member::peer)
                .toList();
    }

    /**
     * Returns the addresses of the reachable other instances of the zone.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The addresses in no particular order.
     */
    List<String> reachableZoneAddresses(long nowMillis) {
        List<String> addresses = new ArrayList<>();
        for (Member member : members.values()) {
            boolean isReachable = isReachable(member, nowMillis);
            if (isReachable && member.peer().zone().equals(self.zone())) {
                addresses.add(member.peer().address());
            }
        }
        return addresses;
    }

    /**
     * Returns {@code true} if any other instance of a zone is reachable.
     *
     * @param zone The zone.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if any other instance of the zone is reachable.
     */
    boolean isZoneReachable(String zone, long nowMillis) {
        return members.values().stream()
                .anyMatch(
                        member ->
                                member.peer().zone().equals(zone)
                                        && isReachable(member, nowMillis));
    }

    /**
     * Returns the addresses to which this instance relays the routing table within its zone.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The addresses of its children in the relay tree.
     */
    List<String> relayAddresses(long nowMillis) {
        Map<String, String> addresses = new HashMap<>();
        addresses.put(self.name(), self.address());
        for (Member member : members.values()) {
            if (isReachable(member, nowMillis) && member.peer().zone().equals(self.zone())) {
                addresses.put(member.peer().name(), member.peer().address());
            }
        }
        return RelayTree.children(self.name(), addresses.keySet()).stream()
                .map(addresses::get)
                .toList();
    }

    /**
     * Returns a random sample of reachable instances to list in a heartbeat.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The instances, possibly none.
     */
    List<PeerAddress> sampleReachablePeers(long nowMillis) {
        List<PeerAddress> reachable = new ArrayList<>(reachablePeers(nowMillis));
        Collections.shuffle(reachable, random);
        return reachable.subList(0, Math.min(GOSSIPED_PEERS, reachable.size()));
    }

    /**
     * Returns {@code true} if an instance sent a heartbeat recently.
     *
     * @param address The address of the instance.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if it is known and reachable.
     */
    boolean isReachable(String address, long nowMillis) {
        Member member = members.get(address);
        return member != null && isReachable(member, nowMillis);
    }

    /**
     * Returns {@code true} if an instance sent a heartbeat recently.
     *
     * @param member The instance.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the time since its last heartbeat is within the limit for the size of
     *     the fleet.
     */
    private boolean isReachable(Member member, long nowMillis) {
        long reachableMillis = REACHABLE_MILLIS;
        if (members.size() > FULL_BROADCAST_INSTANCES) {
            reachableMillis += REACHABLE_MILLIS_PER_FANOUT * members.size() / FANOUT;
        }
        return nowMillis - member.lastHeartbeatMillis() <= reachableMillis;
    }

    /**
     * Returns the number of known instances besides this one.
     *
     * @return The number, including unreachable instances.
     */
    int size() {
        return members.size();
    }

    /**
     * Holds the state of a known instance.
     *
     * @param peer The address and zone of the instance.
     * @param storeContact How it receives endpoint changes.
     * @param storeEra The era of the store from which it knows the endpoints.
     * @param lastHeartbeatMillis The time of its last heartbeat in milliseconds, far in the past
     *     before the first one.
     * @param lastRecordedMillis The time in milliseconds at which it was added by a peer's list or
     *     last sent a heartbeat.
     */
    private record Member(
            PeerAddress peer,
            StoreContact storeContact,
            long storeEra,
            long lastHeartbeatMillis,
            long lastRecordedMillis) {

        /**
         * Returns how the instance receives endpoint changes, as it counts for this instance.
         *
         * @param knownEra The era of the store from which this instance knows the endpoints.
         * @return The contact.
         */
        private StoreContact storeContactIn(long knownEra) {
            return storeEra < knownEra ? storeContact.inEarlierEra() : storeContact;
        }
    }
}
