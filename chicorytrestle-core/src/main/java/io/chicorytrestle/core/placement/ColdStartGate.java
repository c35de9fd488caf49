package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.route.WarmUp;
import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether this instance may send a request to an endpoint that has just started or has
 * turned cold, which crashes if all instances together send it many. No instance is asked: for each
 * incarnation, only the instances that come first in a rendezvous order of all names that were ever
 * known may send, each a few in any second. This class is not thread-safe: it is confined to one
 * thread.
 */
public final class ColdStartGate {

    /**
     * The time in milliseconds over which requests are counted: a second, and a margin for requests
     * that are sent a little later than it was decided.
     */
    static final long WINDOW_MILLIS = 1_250;

    /**
     * The time in milliseconds after its start for which an instance sends nothing to cold
     * endpoints: it knows too few names yet to tell which instances come first, and may have sent
     * requests before a restart.
     */
    static final long LEARNING_MILLIS = 10_000;

    /** The largest number of names that are remembered. */
    private static final int MAXIMUM_NAMES = 8_192;

    /** The name of this instance. */
    private final String self;

    /** The bound for all instances together. */
    private final ColdStartBound bound;

    /** Estimates until when endpoints are cold. */
    private final ColdEndpoints coldEndpoints;

    /** The number of names that must be known for the order to be relied on. */
    private final int minimumNames;

    /** The time in milliseconds at which this instance started. */
    private final long startMillis;

    /** The names of all instances that were ever known, this one included. */
    private final Set<String> names = new HashSet<>();

    /** The ranks of this instance by incarnation, for the names known now. */
    private final Map<String, Integer> ranks = new HashMap<>();

    /** The times in milliseconds of the requests sent lately, by incarnation. */
    private final Map<String, Deque<Long>> sends = new HashMap<>();

    /**
     * Creates a gate.
     *
     * @param self The name of this instance.
     * @param bound The bound for all instances together.
     * @param coldEndpoints Estimates until when endpoints are cold.
     * @param isAlone Whether there are no other instances. Otherwise nothing is sent to cold
     *     endpoints before another is known, since each of many that are cut off would be the first
     *     of its order.
     * @param startMillis The time in milliseconds at which this instance started.
     */
    public ColdStartGate(
            String self,
            ColdStartBound bound,
            ColdEndpoints coldEndpoints,
            boolean isAlone,
            long startMillis) {
        this.self = self;
        this.bound = bound;
        this.coldEndpoints = coldEndpoints;
        minimumNames = isAlone ? 1 : 2;
        this.startMillis = startMillis;
        names.add(self);
    }

    /**
     * Records the names of other instances. A name stays known: an instance that is out of reach
     * may still send requests.
     *
     * @param known The names.
     */
    public void recordInstances(Collection<String> known) {
        boolean hasChanged = false;
        for (String name : known) {
            hasChanged |= names.size() < MAXIMUM_NAMES && names.add(name);
        }
        if (hasChanged) {
            ranks.clear();
        }
    }

    /**
     * Returns {@code true} if an endpoint counts as cold.
     *
     * @param endpoint The endpoint.
     * @param warmUp How endpoints of its service behave while they are cold.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if nothing shows that it is warm.
     */
    public boolean isCold(ServingEndpoint endpoint, WarmUp warmUp, long nowMillis) {
        return coldUntilMillis(endpoint, warmUp) > nowMillis;
    }

    /**
     * Returns until when an endpoint counts as cold.
     *
     * @param endpoint The endpoint.
     * @param warmUp How endpoints of its service behave while they are cold.
     * @return The time in milliseconds, in the past for a warm endpoint.
     */
    public long coldUntilMillis(ServingEndpoint endpoint, WarmUp warmUp) {
        return coldEndpoints.coldUntilMillis(endpoint.incarnation(), warmUp.durationMillis());
    }

    /**
     * Returns {@code true} if this instance may send a request to an endpoint now.
     *
     * @param endpoint The endpoint.
     * @param warmUp How endpoints of its service behave while they are cold.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if it is warm, or this instance has a part of its requests left.
     */
    public boolean isOpen(ServingEndpoint endpoint, WarmUp warmUp, long nowMillis) {
        if (!isCold(endpoint, warmUp, nowMillis)) {
            return true;
        }
        return nowMillis - startMillis >= LEARNING_MILLIS
                && names.size() >= minimumNames
                && recentSends(endpoint.incarnation(), nowMillis)
                        < bound.instanceRequests(
                                warmUp, rank(endpoint.incarnation()), names.size());
    }

    /**
     * Records that a request is sent to an endpoint, if it may be.
     *
     * @param endpoint The endpoint.
     * @param warmUp How endpoints of its service behave while they are cold.
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if the request must not be sent.
     */
    public boolean trySend(ServingEndpoint endpoint, WarmUp warmUp, long nowMillis) {
        if (!isOpen(endpoint, warmUp, nowMillis)) {
            return false;
        }
        sends.computeIfAbsent(endpoint.incarnation(), ignored -> new ArrayDeque<>())
                .addLast(nowMillis);
        recentSends(endpoint.incarnation(), nowMillis);
        return true;
    }

    /**
     * Counts the requests sent to an incarnation within the window.
     *
     * @param incarnation The incarnation.
     * @param nowMillis The current time in milliseconds.
     * @return The number of requests.
     */
    private int recentSends(String incarnation, long nowMillis) {
        Deque<Long> times = sends.get(incarnation);
        if (times == null) {
            return 0;
        }
        while (!times.isEmpty() && nowMillis - times.peekFirst() >= WINDOW_MILLIS) {
            times.removeFirst();
        }
        return times.size();
    }

    /**
     * Returns the number of instances that come before this one.
     *
     * @param incarnation The incarnation that the order is for.
     * @return The rank, zero for the first.
     */
    private int rank(String incarnation) {
        return ranks.computeIfAbsent(
                incarnation, key -> RendezvousOrder.order(key, List.copyOf(names)).indexOf(self));
    }

    /**
     * Removes what is no longer needed.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        List.copyOf(sends.keySet()).forEach(incarnation -> recentSends(incarnation, nowMillis));
        sends.values().removeIf(Deque::isEmpty);
        if (ranks.size() > MAXIMUM_NAMES) {
            ranks.clear();
        }
    }
}
