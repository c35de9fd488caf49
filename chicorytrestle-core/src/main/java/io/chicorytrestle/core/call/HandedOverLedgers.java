package io.chicorytrestle.core.call;

import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind;
import io.chicorytrestle.core.ticket.Ledger;
import io.chicorytrestle.core.ticket.LedgerRecord;
import io.chicorytrestle.core.ticket.Ticket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Stores the ledgers that stopped entry instances handed over, so that this instance can serve
 * their tickets.
 */
final class HandedOverLedgers {

    /** The maximum number of ledgers stored; the parts of further ones are refused. */
    private static final int MAXIMUM_LEDGERS = 64;

    /** The maximum number of records stored of one ledger. */
    private static final int MAXIMUM_RECORDS_PER_LEDGER = 20_000;

    /** The maximum clock skew between two entry instances, in milliseconds. */
    private static final long MAXIMUM_CLOCK_SKEW_MILLIS = 30_000;

    /** The settings, which give the lifetime of tickets. */
    private final CallSettings settings;

    /** The stored ledgers by the incarnation that owned them. */
    private final ShardedMap<LedgerOwner, StoredLedger> ledgers = ShardedMap.make();

    /**
     * Creates an empty store.
     *
     * @param settings The settings.
     */
    HandedOverLedgers(CallSettings settings) {
        this.settings = settings;
    }

    /**
     * Stores a part of a ledger that another instance hands over.
     *
     * @param message The part.
     * @param nowMillis The current time in milliseconds.
     * @return The acknowledgement, or {@code null} if the part is refused because a limit is
     *     reached.
     */
    @Nullable CompletableFuture<PeerMessage> accept(
            CallMessages.LedgerPart message, long nowMillis) {
        LedgerOwner owner = new LedgerOwner(message.name(), message.incarnation());
        if (ledgers.get(owner) == null && ledgers.size() >= MAXIMUM_LEDGERS) {
            return null;
        }
        long expiresAtMillis = nowMillis + 2 * settings.ticketLifetimeMillis();
        StoredLedger ledger =
                ledgers.compute(
                        owner,
                        existing ->
                                (existing == null ? StoredLedger.EMPTY : existing)
                                        .withPart(message, expiresAtMillis));
        return ledger == null || ledger.records.size() > MAXIMUM_RECORDS_PER_LEDGER
                ? null
                : CompletableFuture.completedFuture(new PeerMessageKind.Acknowledgement());
    }

    /**
     * Looks up a ticket of an incarnation that handed its ledger over. A ticket without a record is
     * reported as never run only if the ledger is complete and the ticket is valid for longer than
     * the clock skew.
     *
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The state and record of the ticket, or empty if its state can't be determined here.
     */
    Optional<Ledger.LookupResult> lookUp(Ticket ticket, long nowMillis) {
        StoredLedger ledger =
                ledgers.get(new LedgerOwner(ticket.issuer().name(), ticket.issuer().incarnation()));
        if (ledger == null) {
            return Optional.empty();
        }
        LedgerRecord record = ledger.records.get(ticket.number());
        if (record != null) {
            return Optional.of(new Ledger.LookupResult(Ledger.State.ENDED, Optional.of(record)));
        }
        return ledger.complete && !ticket.isExpired(nowMillis + MAXIMUM_CLOCK_SKEW_MILLIS)
                ? Optional.of(new Ledger.LookupResult(Ledger.State.NEVER_RUN, Optional.empty()))
                : Optional.empty();
    }

    /**
     * Hands over all complete ledgers to other instances, when this instance shuts down.
     *
     * @param forwarder Sends the ledgers to their successors.
     * @param nowMillis The current time in milliseconds.
     * @return One future for each ledger, completed when its handover has ended.
     */
    Stream<CompletableFuture<Void>> handOver(TicketForwarder forwarder, long nowMillis) {
        removeExpired(nowMillis);
        Map<LedgerOwner, StoredLedger> snapshot = new HashMap<>();
        ledgers.forEach(snapshot::put);
        return snapshot.entrySet().stream()
                .filter(entry -> entry.getValue().complete)
                .map(
                        entry ->
                                forwarder.handOver(
                                        entry.getKey().name,
                                        entry.getKey().incarnation,
                                        List.copyOf(entry.getValue().records.values())));
    }

    /**
     * Removes the ledgers whose retention time is over.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        List<LedgerOwner> expired = new ArrayList<>();
        ledgers.forEach(
                (owner, ledger) -> {
                    if (ledger.expiresAtMillis <= nowMillis) {
                        expired.add(owner);
                    }
                });
        expired.forEach(owner -> ledgers.compute(owner, existing -> null));
    }

    /**
     * Identifies the incarnation of an entry instance that owned a ledger.
     *
     * @param name The name of the entry instance.
     * @param incarnation The incarnation of the entry instance.
     */
    private record LedgerOwner(String name, long incarnation) {}

    /**
     * Holds the parts of a ledger received so far.
     *
     * @param records The records by ticket number.
     * @param complete {@code true} if the last part was received.
     * @param expiresAtMillis The time at which the ledger is removed, in milliseconds.
     */
    private record StoredLedger(
            Map<Long, LedgerRecord> records, boolean complete, long expiresAtMillis) {

        /** A ledger without any part. */
        private static final StoredLedger EMPTY = new StoredLedger(Map.of(), false, 0);

        /**
         * Returns this ledger with the records of another part and a new removal time.
         *
         * @param message The part.
         * @param newExpiresAtMillis The time at which the ledger is removed, in milliseconds.
         * @return The new ledger.
         */
        private StoredLedger withPart(CallMessages.LedgerPart message, long newExpiresAtMillis) {
            Map<Long, LedgerRecord> merged = new HashMap<>(records);
            message.records().forEach(record -> merged.put(record.number(), record));
            return new StoredLedger(merged, complete || message.lastPart(), newExpiresAtMillis);
        }
    }
}
