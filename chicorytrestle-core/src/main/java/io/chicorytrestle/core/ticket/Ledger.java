package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps the state of each ticket that one incarnation of an entry instance issued. Implementations
 * are thread-safe.
 *
 * <p>A ticket is open until an attempt claims it. The holder of the claim marks the ticket as
 * started before the first byte is sent. It ends the claim with an outcome, with a record that the
 * outcome is in doubt, or by releasing the ticket if the call certainly didn't run.
 */
public interface Ledger {

    /**
     * Claims a ticket for an attempt, or joins the attempt that holds the claim.
     *
     * @param ticket The ticket, issued by this incarnation.
     * @param callHash The hash of the call's content.
     * @param nowMillis The current time in milliseconds.
     * @return The claim.
     * @throws RequestFailureException If the ticket is expired, was used for another call or can't
     *     be claimed at present.
     */
    Claim claim(Ticket ticket, String callHash, long nowMillis) throws RequestFailureException;

    /**
     * Marks a claimed ticket as started, immediately before the first byte is written.
     *
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return {@code false} if the call must not start, since the ticket is expired or the ledger
     *     sealed.
     */
    boolean start(Ticket ticket, long nowMillis);

    /**
     * Ends a claim with a record of the call.
     *
     * @param record The outcome, or that it is in doubt. A record in doubt is ignored if the call
     *     was never started.
     */
    void finish(LedgerRecord record);

    /**
     * Ends a claim whose call certainly didn't run. The ticket is open again.
     *
     * @param ticket The ticket.
     * @param failure The failure for the callers that joined the attempt.
     */
    void release(Ticket ticket, RequestFailureException failure);

    /**
     * Looks up the state of a ticket.
     *
     * @param ticket The ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The state, and the record if the call has ended.
     */
    LookupResult lookUp(Ticket ticket, long nowMillis);

    /** Refuses further claims. Claims that are held continue. */
    void close();

    /**
     * Refuses further claims and starts, and returns the records to hand over to successors.
     *
     * @return The records of all started calls; the outcomes of those in flight are in doubt.
     */
    List<LedgerRecord> seal();

    /**
     * Removes the records whose retention time is over.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void removeExpired(long nowMillis);

    /**
     * Returns {@code true} if a claim of a new ticket would be accepted at present.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if there is capacity and the ledger isn't closed.
     */
    boolean hasCapacity(long nowMillis);

    /**
     * Returns the number of tickets with an entry, claimed or ended.
     *
     * @return The number of tickets.
     */
    int size();

    /**
     * Returns the number of claims that haven't ended.
     *
     * @return The number of claims.
     */
    int claimCount();

    /**
     * Holds the result of a claim.
     *
     * @param mustExecute {@code true} if the caller holds the claim and has to execute the call;
     *     {@code false} if it joined another attempt.
     * @param completion Completed with the record of the call; it fails if the ticket is released.
     */
    record Claim(boolean mustExecute, CompletableFuture<LedgerRecord> completion) {}

    /**
     * Holds the result of looking up a ticket.
     *
     * @param state The ticket's state.
     * @param record The record, present if the call has ended.
     */
    record LookupResult(State state, Optional<LedgerRecord> record) {}

    /** The states of a ticket. */
    enum State {

        /** No attempt was started; one may follow. */
        OPEN,

        /** No attempt was started, and none will be. */
        NEVER_RUN,

        /**
         * An attempt holds the claim but hasn't written yet, for example because it waits for
         * admission.
         */
        CLAIMED,

        /** Bytes may have been written. */
        STARTED,

        /** The call has ended and its record is kept. */
        ENDED,

        /** The ticket is expired and its record may have been evicted. */
        EVICTED
    }
}
