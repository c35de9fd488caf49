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
 * Holds waiting requests in one bounded queue per workspace and dequeues them by weighted max-min
 * fairness: the workspace with the fewest requests in flight relative to its share comes first. The
 * priority of a workspace grows with the waiting time of its oldest request, so that none with a
 * share starves. This class is not thread-safe: it is confined to one thread.
 *
 * @param <T> The type of the requests.
 */
public final class FairQueue<T> {

    /** The waiting time in milliseconds after which the priority of a workspace has doubled. */
    private static final double AGING_MILLIS = 1_000;

    /**
     * The number of requests of a workspace that are tried, oldest first, before the next workspace
     * is.
     */
    private static final int MAXIMUM_SCANNED_REQUESTS = 8;

    /** The waiting requests by workspace, oldest first. */
    private final Map<String, Deque<QueuedRequest<T>>> queues = new LinkedHashMap<>();

    /** The number of waiting requests of all workspaces. */
    private int size;

    /**
     * Enqueues a request.
     *
     * @param workspace The name of the workspace.
     * @param request The request.
     * @param deadlineMillis The time until which the request may wait, in milliseconds.
     * @param maximumRequests The maximum number of waiting requests of the workspace.
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if the workspace's queue is full.
     */
    public boolean offer(
            String workspace, T request, long deadlineMillis, int maximumRequests, long nowMillis) {
        Deque<QueuedRequest<T>> queue =
                queues.computeIfAbsent(workspace, key -> new ArrayDeque<>());
        boolean accepted = queue.size() < maximumRequests;
        if (accepted) {
            queue.addLast(new QueuedRequest<>(request, nowMillis, deadlineMillis));
            size++;
        }
        removeIfEmpty(workspace, queue);
        return accepted;
    }

    /**
     * Dequeues the next request that can be started. The starter is called for each candidate in
     * order of priority, at most once per request, until it starts one.
     *
     * @param allocations Returns the current share and load of a workspace.
     * @param starter Starts a request, or returns {@code false} if it cannot be started now.
     * @param nowMillis The current time in milliseconds.
     * @return The request that was started, or empty if none could be.
     */
    public Optional<T> poll(
            Function<String, Allocation> allocations, Predicate<T> starter, long nowMillis) {
        if (size == 0) {
            return Optional.empty();
        }
        List<String> candidates = new ArrayList<>(queues.keySet());
        candidates.removeIf(workspace -> !allocations.apply(workspace).isBelowCeiling());
        candidates.sort(
                Comparator.comparingDouble(
                        workspace ->
                                allocations
                                        .apply(workspace)
                                        .rank(oldestWaitMillis(workspace, nowMillis))));
        for (String workspace : candidates) {
            Deque<QueuedRequest<T>> queue = queue(workspace);
            Optional<QueuedRequest<T>> started =
                    queue.stream()
                            .limit(MAXIMUM_SCANNED_REQUESTS)
                            .filter(queued -> starter.test(queued.request))
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
     * Removes the requests that match a condition.
     *
     * @param predicate The condition.
     * @return The removed requests, in order of their waiting time within each workspace.
     */
    public List<T> removeIf(Predicate<T> predicate) {
        return remove(queued -> predicate.test(queued.request));
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The removed requests, in order of their waiting time within each workspace.
     */
    public List<T> expire(long nowMillis) {
        return remove(queued -> queued.deadlineMillis < nowMillis);
    }

    /**
     * Returns the number of waiting requests of all workspaces.
     *
     * @return The number, which the bounds of the queues limit.
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of waiting requests of a workspace.
     *
     * @param workspace The name of the workspace.
     * @return The number, zero if the workspace is unknown.
     */
    public int size(String workspace) {
        return queue(workspace).size();
    }

    /**
     * Removes the requests that match a condition.
     *
     * @param predicate The condition.
     * @return The removed requests, in order of their waiting time within each workspace.
     */
    private List<T> remove(Predicate<QueuedRequest<T>> predicate) {
        List<T> removed = new ArrayList<>();
        Iterator<Deque<QueuedRequest<T>>> iterator = queues.values().iterator();
        while (iterator.hasNext()) {
            Deque<QueuedRequest<T>> queue = iterator.next();
            queue.stream().filter(predicate).forEach(queued -> removed.add(queued.request));
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
     * @param nowMillis The current time in milliseconds.
     * @return The time in milliseconds.
     */
    private long oldestWaitMillis(String workspace, long nowMillis) {
        return Math.max(0, nowMillis - queue(workspace).getFirst().enqueuedMillis);
    }

    /**
     * Returns the queue of a workspace.
     *
     * @param workspace The name of the workspace.
     * @return The queue, or a new empty one that is not stored.
     */
    private Deque<QueuedRequest<T>> queue(String workspace) {
        return queues.getOrDefault(workspace, new ArrayDeque<>());
    }

    /**
     * Removes a queue from the map if it is empty.
     *
     * @param workspace The name of the workspace.
     * @param queue The queue.
     */
    private void removeIfEmpty(String workspace, Deque<QueuedRequest<T>> queue) {
        if (queue.isEmpty()) {
            queues.remove(workspace);
        }
    }

    /**
     * Describes the share and the load of a workspace.
     *
     * @param share The weight of the workspace; zero means that it is served only after all others.
     * @param inFlightRequests The number of requests that the workspace has in flight.
     * @param ceilingRequests The maximum number of requests that it may have in flight.
     */
    public record Allocation(double share, int inFlightRequests, int ceilingRequests) {

        /**
         * Returns {@code true} if the workspace may start another request.
         *
         * @return {@code true} if the requests in flight are below the ceiling.
         */
        public boolean isBelowCeiling() {
            return inFlightRequests < ceilingRequests;
        }

        /**
         * Returns the position of the workspace in the order of dequeuing.
         *
         * @param waitedMillis The time that its oldest request has waited in milliseconds.
         * @return The rank; workspaces with smaller ranks come first.
         */
        double rank(long waitedMillis) {
            if (share <= 0) {
                return Double.MAX_VALUE;
            }
            return (inFlightRequests + 1) / share / (1 + waitedMillis / AGING_MILLIS);
        }
    }

    /**
     * Holds a waiting request with its times.
     *
     * @param request The request.
     * @param enqueuedMillis The time at which it was enqueued, in milliseconds.
     * @param deadlineMillis The time until which it may wait, in milliseconds.
     * @param <T> The type of the request.
     */
    private record QueuedRequest<T>(T request, long enqueuedMillis, long deadlineMillis) {}
}
