package io.chicorytrestle.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Holds waiting requests in bounded queues by workspace and hands them out by weighted max-min
 * sharing: the workspace with the least work in flight for its share comes first. Waiting makes a
 * workspace's claim grow, so that none with a share starves. It is confined to one thread.
 *
 * @param <T> The type of the requests.
 */
public final class FairQueue<T> {

    /** The waiting time that doubles a workspace's claim, in milliseconds. */
    private static final double AGING_MILLIS = 1_000;

    /** The requests of a workspace that are tried in turn, oldest first. */
    private static final int MAXIMUM_SCANNED_REQUESTS = 8;

    /** The waiting requests by workspace, oldest first. */
    private final Map<String, Deque<QueuedRequest<T>>> queues = new LinkedHashMap<>();

    /** The number of waiting requests. */
    private int size;

    /**
     * Adds a request.
     *
     * @param workspace The workspace.
     * @param item The request.
     * @param deadlineMillis The time until which the request may wait, in milliseconds.
     * @param maximumRequests The most requests that may wait in the workspace.
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if the workspace's queue is full.
     */
    public boolean offer(
            String workspace, T item, long deadlineMillis, int maximumRequests, long nowMillis) {
        Deque<QueuedRequest<T>> queue =
                queues.computeIfAbsent(workspace, key -> new ArrayDeque<>());
        boolean accepted = queue.size() < maximumRequests;
        if (accepted) {
            queue.addLast(new QueuedRequest<>(item, nowMillis, deadlineMillis));
            size++;
        }
        removeIfEmpty(workspace, queue);
        return accepted;
    }

    /**
     * Hands out the request whose turn it is.
     *
     * @param claims Tells what each workspace may claim.
     * @param starter Starts a request, or returns {@code false} if it cannot be started now.
     * @param nowMillis The present time in milliseconds.
     * @return The request that was started, or empty if none could be.
     */
    public Optional<T> poll(
            Function<String, Allocation> claims, Predicate<T> starter, long nowMillis) {
        if (size == 0) {
            return Optional.empty();
        }
        List<String> order = new ArrayList<>(queues.keySet());
        order.removeIf(workspace -> !claims.apply(workspace).isBelowCeiling());
        order.sort(
                Comparator.comparingDouble(
                        workspace ->
                                claims.apply(workspace)
                                        .rank(oldestWaitMillis(workspace, nowMillis))));
        for (String workspace : order) {
            Deque<QueuedRequest<T>> queue = queue(workspace);
            Optional<QueuedRequest<T>> started =
                    queue.stream()
                            .limit(MAXIMUM_SCANNED_REQUESTS)
                            .filter(waiting -> starter.test(waiting.request))
                            .findFirst();
            if (started.isPresent()) {
                queue.remove(started.get());
                size--;
                removeIfEmpty(workspace, queue);
                return Optional.of(started.get().request);
            }
        }
        return Optional.empty();
    }

    /**
     * Removes requests.
     *
     * @param predicate Chooses the requests to remove.
     * @return The removed requests.
     */
    public List<T> removeIf(Predicate<T> predicate) {
        return remove(waiting -> predicate.test(waiting.request));
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The removed requests.
     */
    public List<T> expire(long nowMillis) {
        return remove(waiting -> waiting.deadlineMillis < nowMillis);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return The number of waiting requests.
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of a workspace's waiting requests.
     *
     * @param workspace The workspace.
     * @return The number of waiting requests.
     */
    public int size(String workspace) {
        return queue(workspace).size();
    }

    /**
     * Removes requests.
     *
     * @param predicate Chooses the requests to remove.
     * @return The removed requests.
     */
    private List<T> remove(Predicate<QueuedRequest<T>> predicate) {
        List<T> removed = new ArrayList<>();
        Iterator<Deque<QueuedRequest<T>>> iterator = queues.values().iterator();
        while (iterator.hasNext()) {
            Deque<QueuedRequest<T>> queue = iterator.next();
            queue.stream().filter(predicate).forEach(waiting -> removed.add(waiting.request));
            queue.removeIf(predicate);
            if (queue.isEmpty()) {
                iterator.remove();
            }
        }
        size -= removed.size();
        return removed;
    }

    /**
     * Returns how long a workspace's oldest request has waited.
     *
     * @param workspace The workspace, which has a waiting request.
     * @param nowMillis The present time in milliseconds.
     * @return The time in milliseconds.
     */
    private long oldestWaitMillis(String workspace, long nowMillis) {
        return Math.max(0, nowMillis - queue(workspace).getFirst().enqueuedMillis);
    }

    /**
     * Returns the queue of a workspace.
     *
     * @param workspace The workspace.
     * @return The queue, or an empty one.
     */
    private Deque<QueuedRequest<T>> queue(String workspace) {
        return queues.getOrDefault(workspace, new ArrayDeque<>());
    }

    /**
     * Forgets an empty queue.
     *
     * @param workspace The workspace.
     * @param queue The queue.
     */
    private void removeIfEmpty(String workspace, Deque<QueuedRequest<T>> queue) {
        if (queue.isEmpty()) {
            queues.remove(workspace);
        }
    }

    /**
     * Tells what a workspace may claim.
     *
     * @param share The workspace's share; zero means only what is left over.
     * @param inFlightRequests The requests that the workspace has in flight.
     * @param ceilingRequests The most requests that it may have in flight.
     */
    public record Allocation(double share, int inFlightRequests, int ceilingRequests) {

        /**
         * Returns {@code true} if the workspace is below its ceiling.
         *
         * @return {@code true} if the workspace is below its ceiling.
         */
        public boolean isBelowCeiling() {
            return inFlightRequests < ceilingRequests;
        }

        /**
         * Returns the rank of the workspace.
         *
         * @param waitedMillis The time that its oldest request has waited in milliseconds.
         * @return The rank, smaller first.
         */
        double rank(long waitedMillis) {
            if (share <= 0) {
                return Double.MAX_VALUE;
            }
            return (inFlightRequests + 1) / share / (1 + waitedMillis / AGING_MILLIS);
        }
    }

    /**
     * Holds a waiting request.
     *
     * @param request The request.
     * @param enqueuedMillis The time since which it has waited, in milliseconds.
     * @param deadlineMillis The time until which it may wait, in milliseconds.
     * @param <T> The type of the request.
     */
    private record QueuedRequest<T>(T request, long enqueuedMillis, long deadlineMillis) {}
}
