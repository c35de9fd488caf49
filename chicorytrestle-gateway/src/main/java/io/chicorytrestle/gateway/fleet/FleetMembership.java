package io.chicorytrestle.gateway.fleet;

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
 * Keeps the instances that are known and chooses to whom the next beat goes. It is confined to one
 * thread.
 */
final class FleetMembership {

    /** The instances up to which each hears every beat; beyond, a beat goes to a random part. */
    static final int FULL_BROADCAST_INSTANCES = 24;

    /** The instances to which a beat goes in a larger fleet, so that its cost stays the same. */
    static final int FANOUT = 12;

    /**
     * The beats of which one is sent in a larger fleet, whose instances hear many others at any
     * time. Readers send all, since their zone relies on them.
     */
    private static final int LARGE_FLEET_INTERVAL = 2;

    /**
     * The silence in milliseconds after which an instance counts as out of reach: two beats at the
     * longest stride. In a larger fleet, in which beats go to a random part, it grows with the
     * size.
     */
    static final long REACHABLE_MILLIS = 2_800;

    /** The silence in milliseconds that is added for each multiple of the fanout: some beats. */
    private static final long REACHABLE_MILLIS_PER_FANOUT = 2_400;

    /** The most beats of which one goes to an instance of another zone. */
    private static final int MAXIMUM_CROSS_ZONE_INTERVAL = 3;

    /** The instances of a zone of which some instance of another zone hears one at each beat. */
    private static final int INSTANCES_PER_INTERVAL_STEP = 3;

    /** The silence in milliseconds after which a reader of the own zone is no longer relied on. */
    static final long STORE_READER_TIMEOUT_MILLIS = 1_300;

    /** The silence in milliseconds after which an instance is forgotten. */
    static final long EXPIRY_MILLIS = 20_000;

    /** The instances that a beat names, so that the news of an instance spreads in a few beats. */
    private static final int GOSSIPED_PEERS = 6;

    /** The share of beats that still go to an instance that is out of reach. */
    private static final double UNREACHABLE_PROBE_PROBABILITY = 0.25;

    /** Where this instance is met. */
    private final PeerAddress self;

    /** The addresses at which the first instances may be met. */
    private List<String> seeds;

    /** Draws targets. */
    private final Random random;

    /** The known instances by address. */
    private final Map<String, Member> members = new HashMap<>();

    /** The beats that were sent. */
    private int heartbeatRounds;

    /**
     * Creates a new list.
     *
     * @param self Where this instance is met.
     * @param seeds The addresses at which the first instances may be met.
     * @param random Draws targets.
     */
    FleetMembership(PeerAddress self, List<String> seeds, Random random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /**
     * Takes other addresses at which the first instances may be met.
     *
     * @param replaced The addresses.
     */
    void seeds(List<String> replaced) {
        seeds = List.copyOf(replaced);
    }

    /**
     * Takes note of a sign of life.
     *
     * @param beat What the instance told.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the instance was out of reach before.
     */
    boolean recordHeartbeat(Heartbeat beat, long nowMillis) {
        beat.peers().forEach(peer -> recordGossipedPeer(peer, nowMillis));
        if (beat.sender().address().equals(self.address())) {
            return false;
        }
        if (beat.isEnding()) {
            members.remove(beat.sender().address());
            return false;
        }
        Member before =
                members.put(
                        beat.sender().address(),
                        new Member(beat.sender(), beat.storeContact(), nowMillis, nowMillis));
        return before == null || !isReachable(before, nowMillis);
    }

    /**
     * Takes note of an instance that another one knows.
     *
     * @param peer Where the instance is met.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordGossipedPeer(PeerAddress peer, long nowMillis) {
        if (!peer.address().equals(self.address())) {
            members.putIfAbsent(
                    peer.address(),
                    new Member(peer, StoreContact.FOLLOWING, Long.MIN_VALUE / 2, nowMillis));
        }
    }

    /**
     * Forgets instances that were silent for long.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void expire(long nowMillis) {
        members.values()
                .removeIf(
                        member ->
                                nowMillis - member.lastHeartbeatMillis() > EXPIRY_MILLIS
                                        && nowMillis - member.lastMentionedMillis()
                                                > EXPIRY_MILLIS);
    }

    /**
     * Chooses to whom the next beat goes.
     *
     * @param contact How this instance learns of endpoints; a reader is heard by its whole zone.
     * @param nowMillis The present time in milliseconds.
     * @return The addresses.
     */
    List<String> nextTargets(StoreContact contact, long nowMillis) {
        heartbeatRounds++;
        boolean isRest =
                members.size() > FULL_BROADCAST_INSTANCES
                        && heartbeatRounds % LARGE_FLEET_INTERVAL != 0;
        if (isRest && contact != StoreContact.READING) {
            return List.of();
        }
        List<String> targets = new ArrayList<>();
        int stride = crossZoneInterval();
        for (Member member : members.values()) {
            boolean isFresh = isReachable(member, nowMillis);
            boolean isTurn =
                    member.peer().zone().equals(self.zone())
                            || isHeartbeatDue(member.peer(), stride);
            if (isFresh && !isTurn) {
                continue;
            }
            if (isFresh || random.nextDouble() < UNREACHABLE_PROBE_PROBABILITY) {
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
        Set<String> chosen = new LinkedHashSet<>(targets.subList(0, FANOUT));
        if (contact == StoreContact.READING) {
            chosen.addAll(reachableZoneAddresses(nowMillis));
        }
        return List.copyOf(chosen);
    }

    /**
     * Returns {@code true} if this beat goes to an instance of another zone. Instances that started
     * together take different turns, so that the other hears one of them at each beat.
     *
     * @param peer The other instance.
     * @param stride How many beats pass between two that go to it.
     * @return {@code true} if this beat goes to the instance.
     */
    private boolean isHeartbeatDue(PeerAddress peer, int stride) {
        int shift = peer.address().hashCode() + self.address().hashCode();
        return Math.floorMod(shift + heartbeatRounds, stride) == 0;
    }

    /**
     * Returns how many beats pass between two that go to an instance of another zone. The larger
     * the own zone, the more of its instances another zone hears, so that each can speak less.
     *
     * @return The number of beats.
     */
    private int crossZoneInterval() {
        long ownZone =
                members.values().stream()
                        .filter(member -> member.peer().zone().equals(self.zone()))
                        .count();
        return (int)
                Math.max(
                        1,
                        Math.min(
                                MAXIMUM_CROSS_ZONE_INTERVAL,
                                (ownZone + 1) / INSTANCES_PER_INTERVAL_STEP));
    }

    /**
     * Returns how the other instances of the zone learn of endpoints.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The contact of each instance that was heard lately, by name.
     */
    Map<String, StoreContact> zoneStoreContacts(long nowMillis) {
        Map<String, StoreContact> contacts = new HashMap<>();
        for (Member member : members.values()) {
            boolean isHeard =
                    nowMillis - member.lastHeartbeatMillis() <= STORE_READER_TIMEOUT_MILLIS;
            if (isHeard && member.peer().zone().equals(self.zone())) {
                contacts.put(member.peer().name(), member.storeContact());
            }
        }
        return contacts;
    }

    /**
     * Returns the addresses of the other instances of the zone that are within reach.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The addresses.
     */
    List<String> reachableZoneAddresses(long nowMillis) {
        List<String> addresses = new ArrayList<>();
        for (Member member : members.values()) {
            boolean isFresh = isReachable(member, nowMillis);
            if (isFresh && member.peer().zone().equals(self.zone())) {
                addresses.add(member.peer().address());
            }
        }
        return addresses;
    }

    /**
     * Returns {@code true} if some other instance of a zone is within reach.
     *
     * @param zone The zone.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if some other instance of the zone is within reach.
     */
    boolean isZoneReachable(String zone, long nowMillis) {
        return members.values().stream()
                .anyMatch(
                        member ->
                                member.peer().zone().equals(zone)
                                        && isReachable(member, nowMillis));
    }

    /**
     * Returns the addresses to which this instance passes news on within its zone.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The addresses.
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
     * Returns some known instances for a beat.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The instances.
     */
    List<PeerAddress> sampleReachablePeers(long nowMillis) {
        List<PeerAddress> fresh = new ArrayList<>();
        for (Member member : members.values()) {
            if (isReachable(member, nowMillis)) {
                fresh.add(member.peer());
            }
        }
        Collections.shuffle(fresh, random);
        return fresh.subList(0, Math.min(GOSSIPED_PEERS, fresh.size()));
    }

    /**
     * Returns {@code true} if an instance gave a sign of life lately.
     *
     * @param address The address of the instance.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if an instance gave a sign of life lately.
     */
    boolean isReachable(String address, long nowMillis) {
        Member member = members.get(address);
        return member != null && isReachable(member, nowMillis);
    }

    /**
     * Returns {@code true} if an instance gave a sign of life lately.
     *
     * @param member The instance.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if an instance gave a sign of life lately.
     */
    private boolean isReachable(Member member, long nowMillis) {
        long freshMillis = REACHABLE_MILLIS;
        if (members.size() > FULL_BROADCAST_INSTANCES) {
            freshMillis += REACHABLE_MILLIS_PER_FANOUT * members.size() / FANOUT;
        }
        return nowMillis - member.lastHeartbeatMillis() <= freshMillis;
    }

    /**
     * Returns the number of known instances beside this one.
     *
     * @return The number of known instances beside this one.
     */
    int size() {
        return members.size();
    }

    /**
     * Holds a known instance.
     *
     * @param peer Where the instance is met.
     * @param storeContact How it learns of endpoints.
     * @param lastHeartbeatMillis The time of its last sign of life in milliseconds.
     * @param lastMentionedMillis The time at which it was last named or heard, in milliseconds.
     */
    private record Member(
            PeerAddress peer,
            StoreContact storeContact,
            long lastHeartbeatMillis,
            long lastMentionedMillis) {}
}
