package io.chicorytrestle.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Holds the places of one pool that an entry instance holds or waits for, under growing numbers. It
 * is confined to one thread.
 */
final class SlotTracker {

    /** The pool's name. */
    private final String pool;

    /** The places that are held, by number. */
    private final Map<Long, HeldSlot> held = new HashMap<>();

    /** The requests that wait for an answer, by number. */
    private final Map<Long, PendingRequest> pending = new HashMap<>();

    /** The number that was used last. */
    private long lastNumber;

    /**
     * Creates a new, empty book.
     *
     * @param pool The pool's name.
     */
    SlotTracker(String pool) {
        this.pool = pool;
    }

    /**
     * Adds a request.
     *
     * @param request The request.
     * @param claims What is believed of the chat's cached tokens.
     * @return The waiting request.
     */
    PendingRequest addPending(WorkRequest request, List<LeaderMessage.CacheHint> claims) {
        lastNumber++;
        PendingRequest added = new PendingRequest(lastNumber, request, claims);
        pending.put(added.requestNumber, added);
        return added;
    }

    /**
     * Gives a waiting request a new number.
     *
     * @param waiting The waiting request.
     * @return The waiting request under its new number.
     */
    PendingRequest renumber(PendingRequest waiting) {
        pending.remove(waiting.requestNumber);
        lastNumber++;
        PendingRequest again = waiting.withRequestNumber(lastNumber);
        pending.put(again.requestNumber, again);
        return again;
    }

    /**
     * Turns a waiting request into a place that is held.
     *
     * @param waiting The waiting request.
     * @param place The place.
     */
    void markHeld(PendingRequest waiting, HeldSlot place) {
        pending.remove(waiting.requestNumber);
        held.put(waiting.requestNumber, place);
    }

    /**
     * Removes a place.
     *
     * @param number The number.
     * @return The place, or {@code null} if none of that number is held.
     */
    @Nullable HeldSlot removeHeld(long number) {
        return held.remove(number);
    }

    /**
     * Removes a waiting request.
     *
     * @param number The number.
     * @return The request, or {@code null} if none of that number waits.
     */
    @Nullable PendingRequest removePending(long number) {
        return pending.remove(number);
    }

    /**
     * Returns a waiting request.
     *
     * @param number The number.
     * @return The request, or {@code null} if none of that number waits.
     */
    @Nullable PendingRequest pending(long number) {
        return pending.get(number);
    }

    /**
     * Returns the waiting requests.
     *
     * @return The waiting requests, oldest first.
     */
    List<PendingRequest> pending() {
        return pending.values().stream()
                .sorted((first, second) -> Long.compare(first.requestNumber, second.requestNumber))
                .toList();
    }

    /**
     * Returns {@code true} if nothing is held and nothing waits.
     *
     * @return {@code true} if this book is empty.
     */
    boolean isEmpty() {
        return pending.isEmpty() && held.isEmpty();
    }

    /**
     * Returns the time since which the oldest request waits for the steward.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The time in milliseconds, which is the present one if none waits.
     */
    long oldestSentAtMillis(long nowMillis) {
        return pending.values().stream()
                .mapToLong(waiting -> waiting.sentAtMillis)
                .min()
                .orElse(nowMillis);
    }

    /**
     * Returns the report of all that is held.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The report.
     */
    LeaderMessage.Report toReport(long nowMillis) {
        List<LeaderMessage.ReportedSlot> slots = new ArrayList<>(held.size());
        held.forEach((number, place) -> slots.add(place.toReportedSlot(number)));
        return new LeaderMessage.Report(pool, nowMillis, lastNumber, slots);
    }

    /**
     * Returns the renewal of all that is held or waits.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The renewal.
     */
    LeaderMessage.Renewal toRenewal(long nowMillis) {
        List<Long> numbers = new ArrayList<>(held.keySet());
        numbers.addAll(pending.keySet());
        return new LeaderMessage.Renewal(pool, nowMillis, lastNumber, numbers);
    }
}
