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

/** Keeps the sealed ledgers of instances that stopped. */
final class HandedOverLedgers {

    /** The most ledgers to keep. */
    private static final int MAXIMUM_LEDGERS = 64;

    /** The most records to keep of one ledger. */
    private static final int MAXIMUM_RECORDS_PER_LEDGER = 20_000;

    /** How far the clocks of two entry instances may differ, in milliseconds. */
    private static final long MAXIMUM_CLOCK_SKEW_MILLIS = 30_000;

    /** The settings. */
    private final CallSettings settings;

    /** The ledgers by the run that kept them. */
    private final ShardedMap<LedgerOwner, StoredLedger> ledgers = ShardedMap.make();

    /**
     * Creates a new keeper.
     *
     * @param settings The settings.
     */
    HandedOverLedgers(CallSettings settings) {
        this.settings = settings;
    }

    /**
     * Takes a part of a ledger.
     *
     * @param message The part.
     * @param nowMillis The present time in milliseconds.
     * @return The acknowledgement, or {@code null} if there is no room.
     */
    @Nullable CompletableFuture<PeerMessage> accept(
            CallMessages.LedgerPart message, long nowMillis) {
        LedgerOwner run = new LedgerOwner(message.name(), message.incarnation());
        if (ledgers.get(run) == null && ledgers.size() >= MAXIMUM_LEDGERS) {
            return null;
        }
        long untilMillis = nowMillis + 2 * settings.ticketLifetimeMillis();
        StoredLedger adopted =
                ledgers.compute(
                        run,
                        present ->
                                (present == null ? StoredLedger.EMPTY : present)
                                        .withPart(message, untilMillis));
        return adopted == null || adopted.records.size() > MAXIMUM_RECORDS_PER_LEDGER
                ? null
                : CompletableFuture.completedFuture(new PeerMessageKind.Acknowledgement());
    }

    /**
     * Looks a ticket up.
     *
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return What is known of the ticket, or empty if nothing is.
     */
    Optional<Ledger.LookupResult> lookUp(Ticket ticket, long nowMillis) {
        StoredLedger adopted =
                ledgers.get(new LedgerOwner(ticket.issuer().name(), ticket.issuer().incarnation()));
        if (adopted == null) {
            return Optional.empty();
        }
        LedgerRecord record = adopted.records.get(ticket.number());
        if (record != null) {
            return Optional.of(new Ledger.LookupResult(Ledger.State.ENDED, Optional.of(record)));
        }
        return adopted.complete && !ticket.isExpired(nowMillis + MAXIMUM_CLOCK_SKEW_MILLIS)
                ? Optional.of(new Ledger.LookupResult(Ledger.State.NEVER_RUN, Optional.empty()))
                : Optional.empty();
    }

    /**
     * Hands all ledgers on.
     *
     * @param forwarder Reaches the successors.
     * @param nowMillis The present time in milliseconds.
     * @return One future for each ledger, completed when it was handed on.
     */
    Stream<CompletableFuture<Void>> handOver(TicketForwarder forwarder, long nowMillis) {
        removeExpired(nowMillis);
        Map<LedgerOwner, StoredLedger> present = new HashMap<>();
        ledgers.forEach(present::put);
        return present.entrySet().stream()
                .filter(entry -> entry.getValue().complete)
                .map(
                        entry ->
                                forwarder.handOver(
                                        entry.getKey().name,
                                        entry.getKey().incarnation,
                                        List.copyOf(entry.getValue().records.values())));
    }

    /**
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        List<LedgerOwner> old = new ArrayList<>();
        ledgers.forEach(
                (run, adopted) -> {
                    if (adopted.expiresAtMillis <= nowMillis) {
                        old.add(run);
                    }
                });
        old.forEach(run -> ledgers.compute(run, present -> null));
    }

    /**
     * Identifies a run of an entry instance.
     *
     * @param name The name of the entry instance.
     * @param incarnation The incarnation of the entry instance.
     */
    private record LedgerOwner(String name, long incarnation) {}

    /**
     * Holds a ledger that was handed on.
     *
     * @param records The records by the tickets' numbers.
     * @param complete {@code true} if all records arrived.
     * @param expiresAtMillis The time to forget the ledger at, in milliseconds.
     */
    private record StoredLedger(
            Map<Long, LedgerRecord> records, boolean complete, long expiresAtMillis) {

        /** A ledger of which nothing arrived. */
        private static final StoredLedger EMPTY = new StoredLedger(Map.of(), false, 0);

        /**
         * Returns this ledger with one more part.
         *
         * @param message The part.
         * @param newUntilMillis The time to forget the ledger at, in milliseconds.
         * @return The ledger.
         */
        private StoredLedger withPart(CallMessages.LedgerPart message, long newUntilMillis) {
            Map<Long, LedgerRecord> merged = new HashMap<>(records);
            message.records().forEach(record -> merged.put(record.number(), record));
            return new StoredLedger(merged, complete || message.lastPart(), newUntilMillis);
        }
    }
}
