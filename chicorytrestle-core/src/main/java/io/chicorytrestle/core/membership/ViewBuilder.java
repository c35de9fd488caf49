package io.chicorytrestle.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Builds the view of the fleet from the members' records. */
public enum ViewBuilder {

    /** The singleton instance. */
    INSTANCE;

    /**
     * The fraction of a pool's members that must be live; below it, suspects are treated as live.
     */
    public static final double PANIC_LIVE_FRACTION = 0.34;

    /**
     * Builds the view.
     *
     * @param revision The revision of the view.
     * @param own The name of this entry instance, which is in the view whatever its record.
     * @param records The records.
     * @param nowMillis The present time in milliseconds.
     * @return The view.
     */
    public MembershipView build(
            long revision, String own, List<MemberRecord> records, long nowMillis) {
        Map<String, PoolCount> counts = countByPool(records, nowMillis);
        List<InstanceMember> instances = new ArrayList<>();
        List<EndpointMember> endpoints = new ArrayList<>();
        for (MemberRecord record : records) {
            MemberDescription description = record.fact().description();
            EndpointState assumed = record.state(nowMillis);
            boolean isPanic = counts.getOrDefault(description.pool(), PoolCount.NONE).isPanic();
            EndpointState state = isPanic ? suspectAsLive(assumed) : assumed;
            boolean isOwn =
                    description.memberKind() == MemberKind.INSTANCE
                            && description.name().equals(own);
            if (state == EndpointState.GONE && !isOwn) {
                continue;
            }
            if (description.memberKind() == MemberKind.INSTANCE) {
                boolean live = isOwn ? !record.fact().leaving() : state.acceptsWork();
                instances.add(
                        new InstanceMember(
                                description.toInstanceIdentity(),
                                description.host(),
                                description.port(),
                                live));
            } else {
                endpoints.add(new EndpointMember(description.toEndpoint(), state));
            }
        }
        instances.sort(Comparator.comparing(member -> member.identity().name()));
        endpoints.sort(Comparator.comparing(member -> member.endpoint().name()));
        return new MembershipView(revision, instances, endpoints);
    }

    /**
     * Counts the live and suspect members of each pool. Entry instances are counted under the empty
     * name.
     *
     * @param records The records.
     * @param nowMillis The present time in milliseconds.
     * @return The counts by pool.
     */
    private static Map<String, PoolCount> countByPool(List<MemberRecord> records, long nowMillis) {
        Map<String, PoolCount> counts = new HashMap<>();
        for (MemberRecord record : records) {
            PoolCount added =
                    switch (record.state(nowMillis)) {
                        case LIVE -> new PoolCount(1, 0);
                        case SUSPECT -> new PoolCount(0, 1);
                        default -> PoolCount.NONE;
                    };
            counts.merge(record.fact().description().pool(), added, PoolCount::plus);
        }
        return counts;
    }

    /**
     * Returns a state with suspicion ignored.
     *
     * @param state The state.
     * @return Live for a suspect, otherwise the state itself.
     */
    private static EndpointState suspectAsLive(EndpointState state) {
        return state == EndpointState.SUSPECT ? EndpointState.LIVE : state;
    }

    /**
     * Counts the members of a pool that are neither leaving nor gone.
     *
     * @param live The number of live members.
     * @param suspect The number of suspect members.
     */
    private record PoolCount(int live, int suspect) {

        /** The count of an empty pool. */
        private static final PoolCount NONE = new PoolCount(0, 0);

        /**
         * Adds two counts.
         *
         * @param other The other count.
         * @return The sum.
         */
        private PoolCount plus(PoolCount other) {
            return new PoolCount(live + other.live, suspect + other.suspect);
        }

        /**
         * Returns {@code true} if so few members are live that suspicion is to be ignored.
         *
         * @return {@code true} if the fraction of live members is below {@link
         *     ViewBuilder#PANIC_LIVE_FRACTION}.
         */
        private boolean isPanic() {
            return suspect > 0 && live < (live + suspect) * PANIC_LIVE_FRACTION;
        }
    }
}
