package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.MembershipView;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Remembers the endpoints of one pool as views of the fleet come in. An endpoint that vanished from
 * the views without a word of leaving still counts with its capacity for a while, so that a lagging
 * list does not loosen the bound of the others. It is confined to one thread.
 */
final class PoolEndpoints {

    /** The time for which a vanished endpoint still counts, in milliseconds. */
    private static final long VANISHED_GRACE_MILLIS = 30_000;

    /** The time for which an endpoint that failed is avoided, in milliseconds. */
    private static final long FAILURE_AVOIDANCE_MILLIS = 1_000;

    /** The time for which another instance's view of the capacity counts, in milliseconds. */
    private static final long REPORTED_CAPACITY_MILLIS = 5_000;

    /** The pool's name. */
    private final String pool;

    /** The time at which each endpoint was seen last, by endpoint. */
    private final Map<EndpointIdentity, Observation> lastSeen = new HashMap<>();

    /** The times until which endpoints that failed are avoided, by endpoint. */
    private final Map<EndpointIdentity, Long> avoidedUntilMillis = new HashMap<>();

    /** The endpoints that began to leave lately. */
    private final Map<EndpointIdentity, Observation> leaving = new HashMap<>();

    /** The largest capacity by another instance's view. */
    private long reportedCapacity;

    /** The time of that view in milliseconds. */
    private long reportedAtMillis;

    /** The view that was read last. */
    private MembershipView view = MembershipView.EMPTY;

    /** The endpoints that take work, by name. */
    private Map<String, Endpoint> accepting = Map.of();

    /** The rendezvous order of the endpoints that take work. */
    private RendezvousOrder rendezvousOrder = RendezvousOrder.of(List.of());

    /**
     * Creates a new shape.
     *
     * @param pool The pool's name.
     */
    PoolEndpoints(String pool) {
        this.pool = pool;
    }

    /**
     * Takes in a view of the fleet.
     *
     * @param present The present view.
     * @param nowMillis The present time in milliseconds.
     */
    void update(MembershipView present, long nowMillis) {
        accepting.values().forEach(endpoint -> recordSeen(endpoint, nowMillis));
        if (present.revision() != view.revision()) {
            view = present;
            List<Endpoint> endpoints =
                    view.acceptingEndpoints(pool).stream().map(EndpointMember::endpoint).toList();
            accepting = endpoints.stream().collect(Collectors.toMap(Endpoint::name, one -> one));
            rendezvousOrder = RendezvousOrder.of(endpoints);
            accepting.values().forEach(endpoint -> recordSeen(endpoint, nowMillis));
            view.endpoints().stream()
                    .filter(member -> !member.state().acceptsWork())
                    .map(member -> member.endpoint().identity())
                    .forEach(endpoint -> onLeaving(endpoint, nowMillis));
        }
        lastSeen.values().removeIf(one -> nowMillis - one.observedAtMillis > VANISHED_GRACE_MILLIS);
        leaving.values()
                .removeIf(one -> nowMillis - one.observedAtMillis > REPORTED_CAPACITY_MILLIS);
        avoidedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        if (nowMillis - reportedAtMillis > REPORTED_CAPACITY_MILLIS) {
            reportedCapacity = 0;
        }
    }

    /**
     * Returns the rendezvous order of the endpoints that take work.
     *
     * @return The order.
     */
    RendezvousOrder rendezvousOrder() {
        return rendezvousOrder;
    }

    /**
     * Returns an endpoint that takes work.
     *
     * @param identity The endpoint's name and incarnation.
     * @return The endpoint, or empty if it takes none.
     */
    Optional<Endpoint> accepting(EndpointIdentity identity) {
        return Optional.ofNullable(accepting.get(identity.name()))
                .filter(endpoint -> endpoint.identity().equals(identity));
    }

    /**
     * Returns what the pool carries. Vanished endpoints count with their capacity for a while, and
     * the capacity is at least what other instances saw lately.
     *
     * @param book The places that are held.
     * @param nowMillis The present time in milliseconds.
     * @return What the pool carries.
     */
    PoolLoad load(AdmissionTracker book, long nowMillis) {
        long requests =
                accepting.values().stream()
                                .mapToLong(endpoint -> book.inFlightRequests(endpoint.identity()))
                                .sum()
                        - book.unconfirmedSlots(nowMillis);
        long leavingRequests = leaving.keySet().stream().mapToLong(book::inFlightRequests).sum();
        long capacity = lastSeen.values().stream().mapToLong(Observation::capacity).sum();
        long leavingCapacity = leaving.values().stream().mapToLong(Observation::capacity).sum();
        return new PoolLoad(
                requests,
                Math.max(reportedCapacity - leavingCapacity, capacity),
                requests + leavingRequests,
                Math.max(reportedCapacity, capacity + leavingCapacity));
    }

    /**
     * Learns that an endpoint leaves.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    private void onLeaving(EndpointIdentity endpoint, long nowMillis) {
        Observation before = lastSeen.remove(endpoint);
        if (before != null) {
            leaving.put(endpoint, new Observation(before.capacity, nowMillis));
        }
    }

    /**
     * Learns the capacity by another instance's view, which may know an endpoint that joined.
     *
     * @param capacity The capacity in requests.
     * @param nowMillis The present time in milliseconds.
     */
    void recordReportedCapacity(long capacity, long nowMillis) {
        if (capacity >= reportedCapacity) {
            reportedCapacity = capacity;
            reportedAtMillis = nowMillis;
        }
    }

    /**
     * Learns that an endpoint refused work or broke off.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    void onFailed(EndpointIdentity endpoint, long nowMillis) {
        avoidedUntilMillis.put(endpoint, nowMillis + FAILURE_AVOIDANCE_MILLIS);
        if (accepting(endpoint).isEmpty()) {
            lastSeen.remove(endpoint);
        }
    }

    /**
     * Returns {@code true} if an endpoint failed lately.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if the endpoint is to be avoided.
     */
    boolean isAvoided(EndpointIdentity endpoint) {
        return avoidedUntilMillis.containsKey(endpoint);
    }

    /**
     * Takes note of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordSeen(Endpoint endpoint, long nowMillis) {
        lastSeen.put(endpoint.identity(), new Observation(endpoint.capacity(), nowMillis));
    }

    /**
     * Holds when an endpoint was seen last.
     *
     * @param capacity The endpoint's capacity.
     * @param observedAtMillis The time in milliseconds.
     */
    private record Observation(int capacity, long observedAtMillis) {}
}
