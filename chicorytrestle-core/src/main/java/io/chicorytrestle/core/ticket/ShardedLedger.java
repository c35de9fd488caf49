package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A ledger in a sharded map, bounded by the number of tickets and by the bytes of bodies. A claim
 * reserves the maximum size of a body, so that every outcome up to that size can be stored.
 */
public final class ShardedLedger implements Ledger {

    /** The limits. */
    private final LedgerLimits limits;

    /** The entries by ticket number. Entries are immutable and are replaced atomically. */
    private final ShardedMap<Long, Entry> entries = ShardedMap.make();

    /** The number of entries, including reservations of claims in progress. */
    private final AtomicInteger entryCount = new AtomicInteger();

    /** The bytes stored or reserved for bodies. */
    private final AtomicLong bodyBytes = new AtomicLong();

    /** The number of claims that haven't ended. */
    private final AtomicInteger claimCount = new AtomicInteger();

    /**
     * The highest ticket number whose record may have been evicted. An expired ticket without an
     * entry up to this number may have run; one above it never ran.
     */
    private final AtomicLong highestEvictedNumber = new AtomicLong();

    /** Whether further claims are refused; never reset. */
    private volatile boolean closed;

    /** Whether further starts are refused; never reset. */
    private volatile boolean sealed;

    /**
     * Creates a new ledger.
     *
     * @param limits The limits.
     */
    public ShardedLedger(LedgerLimits limits) {
        this.limits = limits;
    }

    @Override
    public Claim claim(Ticket ticket, String callHash, long nowMillis)
            throws RequestFailureException {
        boolean reserved = reserve(nowMillis);
        Entry newEntry = Entry.claimed(ticket, callHash);
        boolean startable = reserved && !ticket.isExpired(nowMillis);
        Entry entry =
                entries.compute(
                        ticket.number(),
                        existing ->
                                existing != null
                                        ? existing
                                        : startable && !closed ? newEntry : null);
        boolean mustExecute = entry == newEntry;
        if (reserved && !mustExecute) {
            entryCount.decrementAndGet();
            bodyBytes.addAndGet(-limits.maximumBodyBytes());
        }
        if (entry == null) {
            throw refusal(ticket, reserved, nowMillis);
        }
        if (!entry.callHash.equals(callHash)) {
            throw RequestFailureException.notRun(
                    FailureCode.TICKET_REFUSED, "Cannot use ticket: it was used for another call");
        }
        if (mustExecute) {
            claimCount.incrementAndGet();
        }
        return new Claim(mustExecute, entry.completion);
    }

    @Override
    public boolean start(Ticket ticket, long nowMillis) {
        boolean[] permitted = new boolean[1];
        entries.compute(
                ticket.number(),
                existing -> {
                    permitted[0] =
                            existing != null
                                    && existing.state != State.ENDED
                                    && !sealed
                                    && !ticket.isExpired(nowMillis);
                    return permitted[0] && existing != null ? existing.started() : existing;
                });
        return permitted[0];
    }

    @Override
    public void finish(LedgerRecord record) {
        int size = record.body().length();
        LedgerRecord storedRecord =
                size * Character.BYTES > limits.maximumBodyBytes() ? record.withoutBody() : record;
        long freedBytes =
                limits.maximumBodyBytes() - (long) storedRecord.body().length() * Character.BYTES;
        boolean[] ended = new boolean[1];
        Entry entry =
                entries.compute(
                        record.number(),
                        existing -> {
                            if (existing == null || !existing.mayEndWith(record)) {
                                return existing;
                            }
                            ended[0] = true;
                            return existing.ended(storedRecord);
                        });
        if (entry != null && ended[0]) {
            bodyBytes.addAndGet(-freedBytes);
            claimCount.decrementAndGet();
            entry.completion.complete(record);
        }
    }

    @Override
    public void release(Ticket ticket, RequestFailureException failure) {
        Entry[] released = new Entry[1];
        entries.compute(
                ticket.number(),
                existing -> {
                    if (existing == null || existing.state == State.ENDED) {
                        return existing;
                    }
                    released[0] = existing;
                    return null;
                });
        if (released[0] != null) {
            entryCount.decrementAndGet();
            bodyBytes.addAndGet(-limits.maximumBodyBytes());
            claimCount.decrementAndGet();
            released[0].completion.completeExceptionally(failure);
        }
    }

    @Override
    public LookupResult lookUp(Ticket ticket, long nowMillis) {
        LookupResult[] result = new LookupResult[1];
        entries.compute(
                ticket.number(),
                existing -> {
                    result[0] =
                            existing == null
                                    ? new LookupResult(
                                            stateWithoutEntry(ticket, nowMillis), Optional.empty())
                                    : new LookupResult(
                                            stateOf(existing),
                                            Optional.ofNullable(existing.record));
                    return existing;
                });
        return result[0];
    }

    /**
     * Returns the state of a ticket without an entry.
     *
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The state.
     */
    private State stateWithoutEntry(Ticket ticket, long nowMillis) {
        if (!ticket.isExpired(nowMillis)) {
            return closed ? State.NEVER_RUN : State.OPEN;
        }
        return ticket.number() <= highestEvictedNumber.get() ? State.EVICTED : State.NEVER_RUN;
    }

    /**
     * Returns the state of a ticket with an entry. A claim that hadn't started when the ledger was
     * sealed never runs.
     *
     * @param entry The entry.
     * @return The state.
     */
    private State stateOf(Entry entry) {
        return sealed && entry.state == State.CLAIMED ? State.NEVER_RUN : entry.state;
    }

    @Override
    public void close() {
        closed = true;
    }

    @Override
    public List<LedgerRecord> seal() {
        closed = true;
        sealed = true;
        List<LedgerRecord> records = new ArrayList<>();
        entries.forEach(
                (number, entry) -> {
                    if (entry.record != null) {
                        records.add(entry.record);
                    } else if (entry.state == State.STARTED) {
                        records.add(LedgerRecord.inDoubt(entry.ticket, entry.callHash));
                    }
                });
        return records;
    }

    @Override
    public void removeExpired(long nowMillis) {
        evictExpiredBefore(nowMillis - limits.retentionMillis());
    }

    @Override
    public boolean hasCapacity(long nowMillis) {
        if (!reserve(nowMillis)) {
            return false;
        }
        entryCount.decrementAndGet();
        bodyBytes.addAndGet(-limits.maximumBodyBytes());
        return !closed;
    }

    @Override
    public int size() {
        return entryCount.get();
    }

    @Override
    public int claimCount() {
        return claimCount.get();
    }

    /**
     * Reserves capacity for one more entry.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if there was capacity, possibly after evicting the records of expired
     *     tickets.
     */
    private boolean reserve(long nowMillis) {
        if (tryReserve()) {
            return true;
        }
        evictExpiredBefore(nowMillis);
        return tryReserve();
    }

    /**
     * Reserves capacity for one more entry.
     *
     * @return {@code true} if there was capacity.
     */
    private boolean tryReserve() {
        int entriesWanted = entryCount.incrementAndGet();
        long bytesWanted = bodyBytes.addAndGet(limits.maximumBodyBytes());
        if (entriesWanted <= limits.maximumEntries() && bytesWanted <= limits.maximumBytes()) {
            return true;
        }
        entryCount.decrementAndGet();
        bodyBytes.addAndGet(-limits.maximumBodyBytes());
        return false;
    }

    /**
     * Evicts the records of ended calls whose tickets expired before a time.
     *
     * @param beforeMillis The time in milliseconds.
     */
    private void evictExpiredBefore(long beforeMillis) {
        List<Long> numbers = new ArrayList<>();
        entries.forEach(
                (number, entry) -> {
                    if (entry.record != null && entry.ticket.isExpired(beforeMillis)) {
                        numbers.add(number);
                    }
                });
        for (Long number : numbers) {
            highestEvictedNumber.accumulateAndGet(number, Math::max);
            Entry[] evicted = new Entry[1];
            entries.compute(
                    number,
                    existing -> {
                        evicted[0] = existing;
                        return null;
                    });
            if (evicted[0] != null && evicted[0].record != null) {
                entryCount.decrementAndGet();
                bodyBytes.addAndGet(-(long) evicted[0].record.body().length() * Character.BYTES);
            }
        }
    }

    /**
     * Creates the failure of a claim that is refused.
     *
     * @param ticket The ticket.
     * @param reserved {@code true} if there was capacity.
     * @param nowMillis The current time in milliseconds.
     * @return The failure.
     */
    private RequestFailureException refusal(Ticket ticket, boolean reserved, long nowMillis) {
        if (ticket.isExpired(nowMillis)) {
            return ticket.number() <= highestEvictedNumber.get()
                    ? RequestFailureException.mayHaveRun(
                            FailureCode.OUTCOME_UNKNOWN, "Cannot replay call: it is too old")
                    : RequestFailureException.notRun(
                            FailureCode.TICKET_REFUSED, "Cannot use ticket: it is expired");
        }
        if (!reserved) {
            return RequestFailureException.notRun(
                            FailureCode.OVERLOADED, "Cannot keep the outcome: the ledger is full")
                    .withRetryAfterMillis(limits.fullRetryAfterMillis());
        }
        return RequestFailureException.notRun(
                FailureCode.UNAVAILABLE, "Cannot start call: the instance is shutting down");
    }

    /** The state of one ticket; immutable but for its future. */
    private static final class Entry {

        /** The ticket. */
        private final Ticket ticket;

        /** The hash of the call's content. */
        private final String callHash;

        /** The state. */
        private final State state;

        /** The record, or {@code null} until the call has ended. */
        private final @Nullable LedgerRecord record;

        /** Completed with the record when the call has ended; fails if the ticket is released. */
        private final CompletableFuture<LedgerRecord> completion;

        /**
         * Creates a new entry.
         *
         * @param ticket The ticket.
         * @param callHash The hash of the call's content.
         * @param state The state.
         * @param record The record, or {@code null} until the call has ended.
         * @param completion Completed with the record when the call has ended; fails if the ticket
         *     is released.
         */
        private Entry(
                Ticket ticket,
                String callHash,
                State state,
                @Nullable LedgerRecord record,
                CompletableFuture<LedgerRecord> completion) {
            this.ticket = ticket;
            this.callHash = callHash;
            this.state = state;
            this.record = record;
            this.completion = completion;
        }

        /**
         * Creates the entry of a claimed ticket.
         *
         * @param ticket The ticket.
         * @param callHash The hash of the call's content.
         * @return The new entry.
         */
        private static Entry claimed(Ticket ticket, String callHash) {
            return new Entry(ticket, callHash, State.CLAIMED, null, new CompletableFuture<>());
        }

        /**
         * Returns the entry that follows when the call is started.
         *
         * @return The new entry, or this one if its call was started before.
         */
        private Entry started() {
            return state == State.CLAIMED
                    ? new Entry(ticket, callHash, State.STARTED, null, completion)
                    : this;
        }

        /**
         * Returns {@code true} if a record may end the claim of this entry.
         *
         * @param finalRecord The record.
         * @return {@code false} if the call has ended, or if it was never started and the record is
         *     in doubt.
         */
        private boolean mayEndWith(LedgerRecord finalRecord) {
            return state == State.STARTED
                    || (state == State.CLAIMED && finalRecord.verdict() == Verdict.RAN);
        }

        /**
         * Returns the entry that follows when the call ends.
         *
         * @param finalRecord The record.
         * @return The new entry.
         */
        private Entry ended(LedgerRecord finalRecord) {
            return new Entry(ticket, callHash, State.ENDED, finalRecord, completion);
        }
    }
}
