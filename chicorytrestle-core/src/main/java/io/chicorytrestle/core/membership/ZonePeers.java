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
 * Holds the entry instances to exchange control messages with, and whether this instance is one of
 * the readers that read the platform for their zone. Instances with different views may select
 * different readers, so that more or fewer instances read for a while.
 *
 * @param neighbours The names of the other live entry instances of this zone, sorted.
 * @param remoteReaders The names of the readers of all other zones.
 * @param zones The zones of the live entry instances, sorted.
 * @param isReader {@code true} if this instance is a reader of its zone.
 */
public record ZonePeers(
        List<String> neighbours, List<String> remoteReaders, List<String> zones, boolean isReader) {

    /** The number of readers in each zone. */
    public static final int READERS_PER_ZONE = 2;

    /** Creates a new selection. */
    public ZonePeers {
        neighbours = List.copyOf(neighbours);
        remoteReaders = List.copyOf(remoteReaders);
        zones = List.copyOf(zones);
    }

    /**
     * Selects the peers and readers from a view.
     *
     * @param view The view of the fleet.
     * @param own This entry instance.
     * @return The selection.
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
     * Samples names without replacement.
     *
     * @param names The names to sample from.
     * @param count The maximum number of names in the sample.
     * @param random The source of randomness.
     * @return The sample, in random order.
     */
    public static List<String> sample(List<String> names, int count, RandomGenerator random) {
        List<String> remaining = new ArrayList<>(names);
        List<String> sample = new ArrayList<>();
        while (sample.size() < count && !remaining.isEmpty()) {
            sample.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return sample;
    }

    /**
     * Returns the readers of a zone.
     *
     * @param names The names of the zone's live instances.
     * @return The names of at most {@link #READERS_PER_ZONE} instances with the lowest hashes.
     */
    private static List<String> readers(List<String> names) {
        return names.stream()
                .sorted(Comparator.comparingLong(ZonePeers::hash).thenComparing(name -> name))
                .limit(READERS_PER_ZONE)
                .toList();
    }

    /**
     * Returns the hash by which readers are selected.
     *
     * @param name The instance's name.
     * @return The hash, the same in every process.
     */
    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Caches the selection until the view changes. This class is thread-safe. */
    public static final class Cache {

        /** Provides the view of the fleet. */
        private final Blackboard blackboard;

        /** This entry instance. */
        private final InstanceIdentity own;

        /** The last selection with its view. */
        private volatile Cached cached;

        /**
         * Creates a new cache.
         *
         * @param blackboard Provides the view of the fleet.
         * @param own This entry instance.
         */
        public Cache(Blackboard blackboard, InstanceIdentity own) {
            this.blackboard = blackboard;
            this.own = own;
            cached = new Cached(MembershipView.EMPTY, of(MembershipView.EMPTY, own));
        }

        /**
         * Returns the selection for the present view.
         *
         * @return The selection, which is computed again if the view's revision changed.
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
         * Holds a selection with its view.
         *
         * @param view The view.
         * @param peers The selection from this view.
         */
        private record Cached(MembershipView view, ZonePeers peers) {}
    }
}
