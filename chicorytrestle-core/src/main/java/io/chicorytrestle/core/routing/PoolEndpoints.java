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
 * Tracks the endpoints of one pool over successive membership views. The capacity of an endpoint
 * that vanished without being reported as leaving still counts for a while, so that an outdated
 * instance list does not loosen the load bound of the other endpoints. It is confined to one
 * thread.
 */
final class PoolEndpoints {

    /** The time for which a vanished endpoint's capacity still counts, in milliseconds. */
    private static final long VANISHED_GRACE_MILLIS = 30_000;

    /** The time for which an endpoint that failed is avoided, in milliseconds. */
    private static final long FAILURE_AVOIDANCE_MILLIS = 1_000;

    /**
     * The time for which the capacity reported by another instance counts, and for which leaving
     * endpoints count, in milliseconds.
     */
    private static final long REPORTED_CAPACITY_MILLIS = 5_000;

    /** The pool's name. */
    private final String pool;

    /** The last observation of each endpoint that has not been reported as leaving. */
    private final Map<EndpointIdentity, Observation> lastSeen = new HashMap<>();

    /** The times until which failed endpoints are avoided, in milliseconds. */
    private final Map<EndpointIdentity, Long> avoidedUntilMillis = new HashMap<>();

    /** The last observations of endpoints that began to leave recently. */
    private final Map<EndpointIdentity, Observation> leaving = new HashMap<>();

    /** The largest capacity of the pool that other instances reported recently. */
    private long reportedCapacity;

    /** The time of that report in milliseconds. */
    private long reportedAtMillis;

    /** The membership view that was read last. */
    private MembershipView view = MembershipView.EMPTY;

    /** The endpoints that accept work, by name. */
    private Map<String, Endpoint> accepting = Map.of();

    /** The rendezvous order of the endpoints that accept work. */
    private RendezvousOrder rendezvousOrder = RendezvousOrder.of(List.of());

    /**
     * Creates a tracker without endpoints.
     *
     * @param pool The pool's name.
     */
    PoolEndpoints(String pool) {
        this.pool = pool;
    }

    /**
     * Applies a membership view and drops expired observations.
     *
     * @param current The current view.
     * @param nowMillis The current time in milliseconds.
     */
    void update(MembershipView current, long nowMillis) {
        accepting.values().forEach(endpoint -> recordSeen(endpoint, nowMillis));
        if (current.revision() != view.revision()) {
            view = current;
            List<Endpoint> endpoints =
                    view.acceptingEndpoints(pool).stream().map(EndpointMember::endpoint).toList();
            accepting =
                    endpoints.stream()
                            .collect(Collectors.toMap(Endpoint::name, endpoint -> endpoint));
            rendezvousOrder = RendezvousOrder.of(endpoints);
            accepting.values().forEach(endpoint -> recordSeen(endpoint, nowMillis));
            view.endpoints().stream()
                    .filter(member -> !member.state().acceptsWork())
                    .map(member -> member.endpoint().identity())
                    .forEach(endpoint -> onLeaving(endpoint, nowMillis));
        }
        lastSeen.values()
                .removeIf(
                        observation ->
                                nowMillis - observation.observedAtMillis > VANISHED_GRACE_MILLIS);
        leaving.values()
                .removeIf(
                        observation ->
                                nowMillis - observation.observedAtMillis
                                        > REPORTED_CAPACITY_MILLIS);
        avoidedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        if (nowMillis - reportedAtMillis > REPORTED_CAPACITY_MILLIS) {
            reportedCapacity = 0;
        }
    }

    /**
     * Returns the rendezvous order of the endpoints that accept work.
     *
     * @return The order.
     */
    RendezvousOrder rendezvousOrder() {
        return rendezvousOrder;
    }

    /**
     * Returns an endpoint that accepts work.
     *
     * @param identity The endpoint's name and incarnation.
     * @return The endpoint, or empty if it accepts no work.
     */
    Optional<Endpoint> accepting(EndpointIdentity identity) {
        return Optional.ofNullable(accepting.get(identity.name()))
                .filter(endpoint -> endpoint.identity().equals(identity));
    }

    /**
     * Returns the load of the pool. The capacity includes that of recently vanished endpoints and
     * is at least what other instances reported recently.
     *
     * @param tracker The slots in use.
     * @param nowMillis The current time in milliseconds.
     * @return The load.
     */
    PoolLoad load(AdmissionTracker tracker, long nowMillis) {
        long requests =
                accepting.values().stream()
                                .mapToLong(
                                        endpoint -> tracker.inFlightRequests(endpoint.identity()))
                                .sum()
                        - tracker.unconfirmedSlots(nowMillis);
        long leavingRequests = leaving.keySet().stream().mapToLong(tracker::inFlightRequests).sum();
        long capacity = lastSeen.values().stream().mapToLong(Observation::capacity).sum();
        long leavingCapacity = leaving.values().stream().mapToLong(Observation::capacity).sum();
        return new PoolLoad(
                requests,
                Math.max(reportedCapacity - leavingCapacity, capacity),
                requests + leavingRequests,
                Math.max(reportedCapacity, capacity + leavingCapacity));
    }

    /**
     * Handles an endpoint that is leaving.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    private void onLeaving(EndpointIdentity endpoint, long nowMillis) {
        Observation observation = lastSeen.remove(endpoint);
        if (observation != null) {
            leaving.put(endpoint, new Observation(observation.capacity, nowMillis));
        }
    }

    /**
     * Records the capacity in another instance's view, which may include an endpoint that this
     * instance does not know yet.
     *
     * @param capacity The capacity in requests.
     * @param nowMillis The current time in milliseconds.
     */
    void recordReportedCapacity(long capacity, long nowMillis) {
        if (capacity >= reportedCapacity) {
            reportedCapacity = capacity;
            reportedAtMillis = nowMillis;
        }
    }

    /**
     * Records that an endpoint refused work or aborted it.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    void onFailed(EndpointIdentity endpoint, long nowMillis) {
        avoidedUntilMillis.put(endpoint, nowMillis + FAILURE_AVOIDANCE_MILLIS);
        if (accepting(endpoint).isEmpty()) {
            lastSeen.remove(endpoint);
        }
    }

    /**
     * Returns {@code true} if an endpoint failed recently.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if the endpoint is to be avoided.
     */
    boolean isAvoided(EndpointIdentity endpoint) {
        return avoidedUntilMillis.containsKey(endpoint);
    }

    /**
     * Records that an endpoint accepts work.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordSeen(Endpoint endpoint, long nowMillis) {
        lastSeen.put(endpoint.identity(), new Observation(endpoint.capacity(), nowMillis));
    }

    /**
     * The last observation of an endpoint.
     *
     * @param capacity The endpoint's capacity.
     * @param observedAtMillis The time of the observation in milliseconds.
     */
    private record Observation(int capacity, long observedAtMillis) {}
}
