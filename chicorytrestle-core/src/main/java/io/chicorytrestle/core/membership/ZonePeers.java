package io.chicorytrestle.core.membership;

import com.google.common.hash.Hashing;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Holds which entry instances exchange control messages, and which of them read the platform for
 * their zone. Instances with different views may choose differently; then more instances read, or
 * fewer for a while.
 *
 * @param neighbours The live entry instances of this zone but this one, sorted by name.
 * @param remoteReaders The readers of all other zones.
 * @param zones The zones of the live entry instances, sorted.
 * @param isReader {@code true} if this instance is a reader of its zone.
 */
public record ZonePeers(
        List<String> neighbours, List<String> remoteReaders, List<String> zones, boolean isReader) {

    /** The readers of each zone. */
    public static final int READERS_PER_ZONE = 2;

    /** Creates new peers. */
    public ZonePeers {
        neighbours = List.copyOf(neighbours);
        remoteReaders = List.copyOf(remoteReaders);
        zones = List.copyOf(zones);
    }

    /**
     * Chooses by a view.
     *
     * @param view The view of the fleet.
     * @param own This entry instance.
     * @return The choice.
     */
    public static ZonePeers of(MembershipView view, InstanceIdentity own) {
        Map<String, List<String>> names = new TreeMap<>();
        for (InstanceMember member : view.liveInstances()) {
            names.computeIfAbsent(member.identity().zone(), zone -> new ArrayList<>())
                    .add(member.identity().name());
        }
        List<String> neighbours = new ArrayList<>();
        List<String> remoteReaders = new ArrayList<>();
        boolean isReader = false;
        for (Map.Entry<String, List<String>> zone : names.entrySet()) {
            if (zone.getKey().equals(own.zone())) {
                neighbours.addAll(zone.getValue());
                isReader = readers(zone.getValue()).contains(own.name());
            } else {
                remoteReaders.addAll(readers(zone.getValue()));
            }
        }
        neighbours.remove(own.name());
        return new ZonePeers(neighbours, remoteReaders, List.copyOf(names.keySet()), isReader);
    }

    /**
     * Chooses some of several names.
     *
     * @param names The names.
     * @param count The most names to choose.
     * @param random Chooses.
     * @return The chosen names.
     */
    public static List<String> sample(List<String> names, int count, RandomGenerator random) {
        List<String> left = new ArrayList<>(names);
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !left.isEmpty()) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }

    /**
     * Returns the readers of a zone.
     *
     * @param names The live instances of the zone.
     * @return The names of at most {@link #READERS_PER_ZONE} instances with the lowest hashes.
     */
    private static List<String> readers(List<String> names) {
        return names.stream()
                .sorted(Comparator.comparingLong(ZonePeers::hash).thenComparing(name -> name))
                .limit(READERS_PER_ZONE)
                .toList();
    }

    /**
     * Returns the hash that ranks an instance.
     *
     * @param name The instance's name.
     * @return The hash, the same in every process.
     */
    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Keeps the choice for as long as the view does not change. Several threads may use it. */
    public static final class Cache {

        /** Tells the view of the fleet. */
        private final Blackboard blackboard;

        /** This entry instance. */
        private final InstanceIdentity own;

        /** The choice that was made last. */
        private volatile Cached cached;

        /**
         * Creates a new keeper.
         *
         * @param blackboard Tells the view of the fleet.
         * @param own This entry instance.
         */
        public Cache(Blackboard blackboard, InstanceIdentity own) {
            this.blackboard = blackboard;
            this.own = own;
            cached = new Cached(MembershipView.EMPTY, of(MembershipView.EMPTY, own));
        }

        /**
         * Returns the choice by the present view.
         *
         * @return The choice by the present view.
         */
        public ZonePeers current() {
            MembershipView view = blackboard.read(Topics.MEMBERSHIP);
            Cached present = cached;
            if (present.view().revision() != view.revision()) {
                present = new Cached(view, of(view, own));
                cached = present;
            }
            return present.peers();
        }

        /**
         * Holds a choice with its view.
         *
         * @param view The view.
         * @param peers The choice.
         */
        private record Cached(MembershipView view, ZonePeers peers) {}
    }
}
