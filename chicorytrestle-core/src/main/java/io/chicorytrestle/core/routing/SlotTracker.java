package io.chicorytrestle.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the slots of one pool that an entry instance holds or requests, under increasing request
 * numbers. It is confined to one thread.
 */
final class SlotTracker {

    /** The pool's name. */
    private final String pool;

    /** The held slots by request number. */
    private final Map<Long, HeldSlot> held = new HashMap<>();

    /** The requests without a reply, by request number. */
    private final Map<Long, PendingRequest> pending = new HashMap<>();

    /** The request number that was used last. */
    private long lastNumber;

    /**
     * Creates an empty tracker.
     *
     * @param pool The pool's name.
     */
    SlotTracker(String pool) {
        this.pool = pool;
    }

    /**
     * Adds a request under a new number.
     *
     * @param request The request.
     * @param cacheHints The estimates of the chat's cached tokens.
     * @return The pending request.
     */
    PendingRequest addPending(WorkRequest request, List<LeaderMessage.CacheHint> cacheHints) {
        lastNumber++;
        PendingRequest added = new PendingRequest(lastNumber, request, cacheHints);
        pending.put(added.requestNumber, added);
        return added;
    }

    /**
     * Gives a pending request a new number.
     *
     * @param waiting The pending request.
     * @return The pending request under its new number.
     */
    PendingRequest renumber(PendingRequest waiting) {
        pending.remove(waiting.requestNumber);
        lastNumber++;
        PendingRequest renumbered = waiting.withRequestNumber(lastNumber);
        pending.put(renumbered.requestNumber, renumbered);
        return renumbered;
    }

    /**
     * Replaces a pending request by the slot that was granted to it.
     *
     * @param waiting The pending request.
     * @param slot The granted slot.
     */
    void markHeld(PendingRequest waiting, HeldSlot slot) {
        pending.remove(waiting.requestNumber);
        held.put(waiting.requestNumber, slot);
    }

    /**
     * Removes a held slot.
     *
     * @param requestNumber The request number.
     * @return The slot, or {@code null} if none of that number is held.
     */
    @Nullable HeldSlot removeHeld(long requestNumber) {
        return held.remove(requestNumber);
    }

    /**
     * Removes a pending request.
     *
     * @param requestNumber The request number.
     * @return The request, or {@code null} if none of that number is pending.
     */
    @Nullable PendingRequest removePending(long requestNumber) {
        return pending.remove(requestNumber);
    }

    /**
     * Returns a pending request.
     *
     * @param requestNumber The request number.
     * @return The request, or {@code null} if none of that number is pending.
     */
    @Nullable PendingRequest pending(long requestNumber) {
        return pending.get(requestNumber);
    }

    /**
     * Returns the pending requests.
     *
     * @return The pending requests, oldest first.
     */
    List<PendingRequest> pending() {
        return pending.values().stream()
                .sorted((first, second) -> Long.compare(first.requestNumber, second.requestNumber))
                .toList();
    }

    /**
     * Returns {@code true} if no slot is held and no request is pending.
     *
     * @return {@code true} if this tracker is empty.
     */
    boolean isEmpty() {
        return pending.isEmpty() && held.isEmpty();
    }

    /**
     * Returns the earliest time at which a pending request was sent.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The time in milliseconds, zero if a request was not sent yet, or the current time if
     *     none is pending.
     */
    long oldestSentAtMillis(long nowMillis) {
        return pending.values().stream()
                .mapToLong(waiting -> waiting.sentAtMillis)
                .min()
                .orElse(nowMillis);
    }

    /**
     * Returns a report of all held slots, to join a leader.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The report.
     */
    LeaderMessage.Report toReport(long nowMillis) {
        List<LeaderMessage.ReportedSlot> slots = new ArrayList<>(held.size());
        held.forEach((requestNumber, slot) -> slots.add(slot.toReportedSlot(requestNumber)));
        return new LeaderMessage.Report(pool, nowMillis, lastNumber, slots);
    }

    /**
     * Returns a renewal of all held slots and pending requests.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The renewal.
     */
    LeaderMessage.Renewal toRenewal(long nowMillis) {
        List<Long> numbers = new ArrayList<>(held.keySet());
        numbers.addAll(pending.keySet());
        return new LeaderMessage.Renewal(pool, nowMillis, lastNumber, numbers);
    }
}
