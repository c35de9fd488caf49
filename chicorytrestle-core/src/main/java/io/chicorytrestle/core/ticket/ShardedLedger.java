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

/** Keeps tickets in shards, bounded by count and by bytes. */
public final class ShardedLedger implements Ledger {

    /** The bounds. */
    private final LedgerLimits limits;

    /** The entries by the tickets' numbers. */
    private final ShardedMap<Long, Entry> entries = ShardedMap.make();

    /** The number of entries. */
    private final AtomicInteger entryCount = new AtomicInteger();

    /** The bytes that are kept or reserved for bodies. */
    private final AtomicLong bodyBytes = new AtomicLong();

    /** The claims that are held. */
    private final AtomicInteger claimCount = new AtomicInteger();

    /** The highest number whose record may have been dropped. */
    private final AtomicLong highestEvictedNumber = new AtomicLong();

    /** Whether further claims are refused. */
    private volatile boolean closed;

    /** Whether further starts are refused. */
    private volatile boolean sealed;

    /**
     * Creates a new ledger.
     *
     * @param limits The bounds.
     */
    public ShardedLedger(LedgerLimits limits) {
        this.limits = limits;
    }

    @Override
    public Claim claim(Ticket ticket, String callHash, long nowMillis)
            throws RequestFailureException {
        boolean reserved = reserve(nowMillis);
        Entry fresh = Entry.claimed(ticket, callHash);
        boolean startable = reserved && !ticket.isExpired(nowMillis);
        Entry entry =
                entries.compute(
                        ticket.number(),
                        present -> present != null ? present : startable && !closed ? fresh : null);
        boolean runner = entry == fresh;
        if (reserved && !runner) {
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
        if (runner) {
            claimCount.incrementAndGet();
        }
        return new Claim(runner, entry.ended);
    }

    @Override
    public boolean start(Ticket ticket, long nowMillis) {
        boolean[] permitted = new boolean[1];
        entries.compute(
                ticket.number(),
                present -> {
                    permitted[0] =
                            present != null
                                    && present.state != State.ENDED
                                    && !sealed
                                    && !ticket.isExpired(nowMillis);
                    return permitted[0] && present != null ? present.started() : present;
                });
        return permitted[0];
    }

    @Override
    public void finish(LedgerRecord record) {
        int size = record.body().length();
        LedgerRecord kept =
                size * Character.BYTES > limits.maximumBodyBytes() ? record.withoutBody() : record;
        long freedBytes = limits.maximumBodyBytes() - (long) kept.body().length() * Character.BYTES;
        boolean[] ended = new boolean[1];
        Entry entry =
                entries.compute(
                        record.number(),
                        present -> {
                            if (present == null || !present.mayEndWith(record)) {
                                return present;
                            }
                            ended[0] = true;
                            return present.ended(kept);
                        });
        if (entry != null && ended[0]) {
            bodyBytes.addAndGet(-freedBytes);
            claimCount.decrementAndGet();
            entry.ended.complete(record);
        }
    }

    @Override
    public void release(Ticket ticket, RequestFailureException failure) {
        Entry[] released = new Entry[1];
        entries.compute(
                ticket.number(),
                present -> {
                    if (present == null || present.state == State.ENDED) {
                        return present;
                    }
                    released[0] = present;
                    return null;
                });
        if (released[0] != null) {
            entryCount.decrementAndGet();
            bodyBytes.addAndGet(-limits.maximumBodyBytes());
            claimCount.decrementAndGet();
            released[0].ended.completeExceptionally(failure);
        }
    }

    @Override
    public LookupResult lookUp(Ticket ticket, long nowMillis) {
        LookupResult[] look = new LookupResult[1];
        entries.compute(
                ticket.number(),
                present -> {
                    look[0] =
                            present == null
                                    ? new LookupResult(
                                            stateWithoutEntry(ticket, nowMillis), Optional.empty())
                                    : new LookupResult(
                                            stateOf(present), Optional.ofNullable(present.record));
                    return present;
                });
        return look[0];
    }

    /**
     * Returns the state of a ticket of which no entry is kept.
     *
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return The state.
     */
    private State stateWithoutEntry(Ticket ticket, long nowMillis) {
        if (!ticket.isExpired(nowMillis)) {
            return closed ? State.NEVER_RUN : State.OPEN;
        }
        return ticket.number() <= highestEvictedNumber.get() ? State.EVICTED : State.NEVER_RUN;
    }

    /**
     * Returns the state of a ticket of which an entry is kept.
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
     * Reserves room for one more entry.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if there was room, if need be after dropping expired records.
     */
    private boolean reserve(long nowMillis) {
        if (tryReserve()) {
            return true;
        }
        evictExpiredBefore(nowMillis);
        return tryReserve();
    }

    /**
     * Reserves room for one more entry.
     *
     * @return {@code true} if there was room.
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
     * Drops the records of ended calls whose tickets expired before a time.
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
            Entry[] dropped = new Entry[1];
            entries.compute(
                    number,
                    present -> {
                        dropped[0] = present;
                        return null;
                    });
            if (dropped[0] != null && dropped[0].record != null) {
                entryCount.decrementAndGet();
                bodyBytes.addAndGet(-(long) dropped[0].record.body().length() * Character.BYTES);
            }
        }
    }

    /**
     * Creates the failure of a claim that was not accepted.
     *
     * @param ticket The ticket.
     * @param reserved {@code true} if there was room.
     * @param nowMillis The present time in milliseconds.
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

    /** Holds the state of one ticket. */
    private static final class Entry {

        /** The ticket. */
        private final Ticket ticket;

        /** The hash of the call. */
        private final String callHash;

        /** The state. */
        private final State state;

        /** The record, or {@code null} until the call is ended. */
        private final @Nullable LedgerRecord record;

        /** Completed when the call is ended or released. */
        private final CompletableFuture<LedgerRecord> ended;

        /**
         * Creates a new entry.
         *
         * @param ticket The ticket.
         * @param callHash The hash of the call.
         * @param state The state.
         * @param record The record, or {@code null} until the call is ended.
         * @param ended Completed when the call is ended or released.
         */
        private Entry(
                Ticket ticket,
                String callHash,
                State state,
                @Nullable LedgerRecord record,
                CompletableFuture<LedgerRecord> ended) {
            this.ticket = ticket;
            this.callHash = callHash;
            this.state = state;
            this.record = record;
            this.ended = ended;
        }

        /**
         * Creates an entry of a ticket that was claimed.
         *
         * @param ticket The ticket.
         * @param callHash The hash of the call.
         * @return The entry.
         */
        private static Entry claimed(Ticket ticket, String callHash) {
            return new Entry(ticket, callHash, State.CLAIMED, null, new CompletableFuture<>());
        }

        /**
         * Returns this entry as started.
         *
         * @return The entry, unchanged if its call was ended.
         */
        private Entry started() {
            return state == State.CLAIMED
                    ? new Entry(ticket, callHash, State.STARTED, null, ended)
                    : this;
        }

        /**
         * Returns {@code true} if a record may end this entry's claim.
         *
         * @param ending The record.
         * @return {@code false} if the call was ended, or was never started but is said to be in
         *     doubt.
         */
        private boolean mayEndWith(LedgerRecord ending) {
            return state == State.STARTED
                    || (state == State.CLAIMED && ending.verdict() == Verdict.RAN);
        }

        /**
         * Returns this entry as ended.
         *
         * @param ending The record.
         * @return The entry.
         */
        private Entry ended(LedgerRecord ending) {
            return new Entry(ticket, callHash, State.ENDED, ending, ended);
        }
    }
}
