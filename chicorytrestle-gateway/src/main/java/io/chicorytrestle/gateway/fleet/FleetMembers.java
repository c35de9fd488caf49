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
final class FleetMembers {

    /** The instances up to which each hears every beat; beyond, a beat goes to a random part. */
    static final int FULL_FLEET = 24;

    /** The instances to which a beat goes in a larger fleet, so that its cost stays the same. */
    static final int FANOUT = 12;

    /**
     * The beats of which one is sent in a larger fleet, whose instances hear many others at any
     * time. Readers send all, since their zone relies on them.
     */
    private static final int LARGE_FLEET_STRIDE = 2;

    /**
     * The silence in milliseconds after which an instance counts as out of reach: two beats at the
     * longest stride. In a larger fleet, in which beats go to a random part, it grows with the
     * size.
     */
    static final long FRESH_MILLIS = 2_800;

    /** The silence in milliseconds that is added for each multiple of the fanout: some beats. */
    private static final long FRESH_MILLIS_PER_FANOUT = 2_400;

    /** The most beats of which one goes to an instance of another zone. */
    private static final int LONGEST_STRIDE = 3;

    /** The instances of a zone of which some instance of another zone hears one at each beat. */
    private static final int STRIDE_INSTANCES = 3;

    /** The silence in milliseconds after which a reader of the own zone is no longer relied on. */
    static final long HEARD_MILLIS = 1_300;

    /** The silence in milliseconds after which an instance is forgotten. */
    static final long FORGET_MILLIS = 20_000;

    /** The instances that a beat names, so that the news of an instance spreads in a few beats. */
    private static final int NAMED_PEERS = 6;

    /** The share of beats that still go to an instance that is out of reach. */
    private static final double SILENT_SHARE = 0.25;

    /** Where this instance is met. */
    private final PeerAddress self;

    /** The addresses at which the first instances may be met. */
    private List<String> seeds;

    /** Draws targets. */
    private final Random random;

    /** The known instances by address. */
    private final Map<String, Member> members = new HashMap<>();

    /** The beats that were sent. */
    private int beats;

    /**
     * Creates a new list.
     *
     * @param self Where this instance is met.
     * @param seeds The addresses at which the first instances may be met.
     * @param random Draws targets.
     */
    FleetMembers(PeerAddress self, List<String> seeds, Random random) {
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
    boolean heard(Beat beat, long nowMillis) {
        beat.peers().forEach(peer -> learned(peer, nowMillis));
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
                        new Member(beat.sender(), beat.contact(), nowMillis, nowMillis));
        return before == null || !isFresh(before, nowMillis);
    }

    /**
     * Takes note of an instance that another one knows.
     *
     * @param peer Where the instance is met.
     * @param nowMillis The present time in milliseconds.
     */
    private void learned(PeerAddress peer, long nowMillis) {
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
                                nowMillis - member.heardMillis() > FORGET_MILLIS
                                        && nowMillis - member.learnedMillis() > FORGET_MILLIS);
    }

    /**
     * Chooses to whom the next beat goes.
     *
     * @param contact How this instance learns of endpoints; a reader is heard by its whole zone.
     * @param nowMillis The present time in milliseconds.
     * @return The addresses.
     */
    List<String> targets(StoreContact contact, long nowMillis) {
        beats++;
        boolean isRest = members.size() > FULL_FLEET && beats % LARGE_FLEET_STRIDE != 0;
        if (isRest && contact != StoreContact.READING) {
            return List.of();
        }
        List<String> targets = new ArrayList<>();
        int stride = stride();
        for (Member member : members.values()) {
            boolean isFresh = isFresh(member, nowMillis);
            boolean isTurn =
                    member.peer().zone().equals(self.zone()) || isTurn(member.peer(), stride);
            if (isFresh && !isTurn) {
                continue;
            }
            if (isFresh || random.nextDouble() < SILENT_SHARE) {
                targets.add(member.peer().address());
            }
        }
        for (String seed : seeds) {
            boolean isNew = !members.containsKey(seed) && !seed.equals(self.address());
            if (isNew && (members.isEmpty() || random.nextDouble() < SILENT_SHARE)) {
                targets.add(seed);
            }
        }
        if (targets.size() <= FULL_FLEET) {
            return targets;
        }
        Collections.shuffle(targets, random);
        Set<String> chosen = new LinkedHashSet<>(targets.subList(0, FANOUT));
        if (contact == StoreContact.READING) {
            chosen.addAll(zoneAddresses(nowMillis));
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
    private boolean isTurn(PeerAddress peer, int stride) {
        int shift = peer.address().hashCode() + self.address().hashCode();
        return Math.floorMod(shift + beats, stride) == 0;
    }

    /**
     * Returns how many beats pass between two that go to an instance of another zone. The larger
     * the own zone, the more of its instances another zone hears, so that each can speak less.
     *
     * @return The number of beats.
     */
    private int stride() {
        long ownZone =
                members.values().stream()
                        .filter(member -> member.peer().zone().equals(self.zone()))
                        .count();
        return (int) Math.max(1, Math.min(LONGEST_STRIDE, (ownZone + 1) / STRIDE_INSTANCES));
    }

    /**
     * Returns how the other instances of the zone learn of endpoints.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The contact of each instance that was heard lately, by name.
     */
    Map<String, StoreContact> zoneContacts(long nowMillis) {
        Map<String, StoreContact> contacts = new HashMap<>();
        for (Member member : members.values()) {
            boolean isHeard = nowMillis - member.heardMillis() <= HEARD_MILLIS;
            if (isHeard && member.peer().zone().equals(self.zone())) {
                contacts.put(member.peer().name(), member.contact());
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
    List<String> zoneAddresses(long nowMillis) {
        List<String> addresses = new ArrayList<>();
        for (Member member : members.values()) {
            boolean isFresh = isFresh(member, nowMillis);
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
    boolean isZoneKnown(String zone, long nowMillis) {
        return members.values().stream()
                .anyMatch(
                        member -> member.peer().zone().equals(zone) && isFresh(member, nowMillis));
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
            if (isFresh(member, nowMillis) && member.peer().zone().equals(self.zone())) {
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
    List<PeerAddress> sample(long nowMillis) {
        List<PeerAddress> fresh = new ArrayList<>();
        for (Member member : members.values()) {
            if (isFresh(member, nowMillis)) {
                fresh.add(member.peer());
            }
        }
        Collections.shuffle(fresh, random);
        return fresh.subList(0, Math.min(NAMED_PEERS, fresh.size()));
    }

    /**
     * Returns {@code true} if an instance gave a sign of life lately.
     *
     * @param address The address of the instance.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if an instance gave a sign of life lately.
     */
    boolean isFresh(String address, long nowMillis) {
        Member member = members.get(address);
        return member != null && isFresh(member, nowMillis);
    }

    /**
     * Returns {@code true} if an instance gave a sign of life lately.
     *
     * @param member The instance.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if an instance gave a sign of life lately.
     */
    private boolean isFresh(Member member, long nowMillis) {
        long freshMillis = FRESH_MILLIS;
        if (members.size() > FULL_FLEET) {
            freshMillis += FRESH_MILLIS_PER_FANOUT * members.size() / FANOUT;
        }
        return nowMillis - member.heardMillis() <= freshMillis;
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
     * @param contact How it learns of endpoints.
     * @param heardMillis The time of its last sign of life in milliseconds.
     * @param learnedMillis The time at which it was last named or heard, in milliseconds.
     */
    private record Member(
            PeerAddress peer, StoreContact contact, long heardMillis, long learnedMillis) {}
}
