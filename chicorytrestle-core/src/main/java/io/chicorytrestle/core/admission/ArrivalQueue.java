package io.chicorytrestle.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the requests that an instance has received and not started, and chooses the next one. It
 * answers the load of an instance that is behind, such as one that serves the requests of an outage
 * with code that is not compiled yet: the oldest requests are those whose callers are about to
 * leave, so that serving in order of arrival would spend the instance's time on requests that
 * nobody waits for. While requests wait briefly, the earliest one comes first; once they wait long,
 * the latest one does, and a request that waits for too long is removed. This class is not
 * thread-safe: it is confined to one thread.
 *
 * @param <T> The type of a request.
 */
public final class ArrivalQueue<T> {

    /**
     * The waiting time of the earliest request in milliseconds from which the latest one comes
     * first: a noticeable part of the shortest latency targets.
     */
    private static final long LONG_WAIT_MILLIS = 100;

    /**
     * The longest waiting time in milliseconds. By then most callers have left, and an instance
     * that catches up serves new requests better than it serves old ones.
     */
    private static final long MAXIMUM_WAIT_MILLIS = 1_000;

    /**
     * The largest share of the caller's deadline that a request may wait. A caller that comes back
     * to another instance then has more time left than it has lost.
     */
    private static final double MAXIMUM_WAIT_DEADLINE_SHARE = 1 / 3.0;

    /** The waiting requests by the order of their arrival. */
    private final NavigableMap<Long, Arrival<T>> arrivals = new TreeMap<>();

    /** The positions of the waiting requests in the order of arrival. */
    private final Map<T, Long> positions = new HashMap<>();

    /** The position of the next request that arrives. */
    private long nextPosition;

    /**
     * Adds a request.
     *
     * @param request The request, which is not waiting yet.
     * @param arrivedMillis The time of arrival in milliseconds.
     * @param deadlineMillis The time in milliseconds, counted from the arrival, for which the
     *     caller waits for the answer.
     */
    public void add(T request, long arrivedMillis, long deadlineMillis) {
        positions.put(request, nextPosition);
        arrivals.put(nextPosition, new Arrival<>(request, arrivedMillis, deadlineMillis));
        nextPosition++;
    }

    /**
     * Removes a request whose caller has left.
     *
     * @param request The request.
     * @return {@code true} if it was waiting.
     */
    public boolean remove(T request) {
        Long position = positions.remove(request);
        return position != null && arrivals.remove(position) != null;
    }

    /**
     * Returns {@code true} if no request waits.
     *
     * @return {@code true} if no request waits.
     */
    public boolean isEmpty() {
        return arrivals.isEmpty();
    }

    /**
     * Removes the requests that have waited for too long.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The requests, the earliest first.
     */
    public List<T> removeOverdue(long nowMillis) {
        List<T> overdue = new ArrayList<>();
        for (Arrival<T> arrival : arrivals.values()) {
            if (arrival.isOverdue(nowMillis)) {
                overdue.add(arrival.request());
            }
        }
        overdue.forEach(this::remove);
        return overdue;
    }

    /**
     * Removes and returns the request to start next.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The request, or empty if none waits.
     */
    public Optional<T> removeNext(long nowMillis) {
        if (arrivals.isEmpty()) {
            return Optional.empty();
        }
        Arrival<T> earliest = arrivals.firstEntry().getValue();
        boolean isBehind = nowMillis - earliest.arrivedMillis() >= LONG_WAIT_MILLIS;
        Arrival<T> next = isBehind ? arrivals.lastEntry().getValue() : earliest;
        remove(next.request());
        return Optional.of(next.request());
    }

    /**
     * Describes the arrival of a request.
     *
     * @param <T> The type of a request.
     * @param request The request.
     * @param arrivedMillis The time of arrival in milliseconds.
     * @param deadlineMillis The time in milliseconds for which the caller waits, from then on.
     */
    private record Arrival<T>(T request, long arrivedMillis, long deadlineMillis) {

        /**
         * Returns {@code true} if the request must not wait any longer.
         *
         * @param nowMillis The current time in milliseconds.
         * @return {@code true} if its caller is better served by another instance.
         */
        private boolean isOverdue(long nowMillis) {
            double maximumWaitMillis =
                    Math.min(MAXIMUM_WAIT_MILLIS, deadlineMillis * MAXIMUM_WAIT_DEADLINE_SHARE);
            return nowMillis - arrivedMillis > maximumWaitMillis;
        }
    }
}
