package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps the state of each ticket of one run of an entry instance. Several threads may call it.
 *
 * <p>A ticket is open until an attempt claims it; the claim's holder marks it as started before the
 * first byte leaves, and ends the claim with an outcome, with doubt, or by releasing the ticket if
 * the call certainly did not run.
 */
public interface Ledger {

    /**
     * Claims a ticket for an attempt, or joins the attempt that claimed it before.
     *
     * @param ticket The ticket, issued by this run.
     * @param callHash The hash of the call.
     * @param nowMillis The present time in milliseconds.
     * @return The claim.
     * @throws RequestFailureException If the call cannot be made with the ticket now.
     */
    Claim claim(Ticket ticket, String callHash, long nowMillis) throws RequestFailureException;

    /**
     * Marks a claimed ticket as started, immediately before the first byte is written.
     *
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return {@code false} if the call must not be started any more.
     */
    boolean start(Ticket ticket, long nowMillis);

    /**
     * Ends a claim with a record.
     *
     * @param record The outcome, or the doubt about it; doubt about a call that was never started
     *     is ignored.
     */
    void finish(LedgerRecord record);

    /**
     * Ends a claim whose call certainly did not run; the ticket is open again.
     *
     * @param ticket The ticket.
     * @param failure The failure for those who joined the attempt.
     */
    void release(Ticket ticket, RequestFailureException failure);

    /**
     * Looks a ticket up.
     *
     * @param ticket The ticket.
     * @param nowMillis The present time in milliseconds.
     * @return What is known of the ticket.
     */
    LookupResult lookUp(Ticket ticket, long nowMillis);

    /** Refuses further claims; claims that are held go on. */
    void close();

    /**
     * Refuses further starts and returns what is to be handed on.
     *
     * @return The records of all calls that were started; those still in flight are in doubt.
     */
    List<LedgerRecord> seal();

    /**
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void removeExpired(long nowMillis);

    /**
     * Returns {@code true} if a claim of a new ticket would be accepted.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if there is room and the ledger is not closed.
     */
    boolean hasCapacity(long nowMillis);

    /**
     * Returns the number of tickets that are kept.
     *
     * @return The number of tickets that are kept.
     */
    int size();

    /**
     * Returns the number of claims that are held.
     *
     * @return The number of claims that are held.
     */
    int claimCount();

    /**
     * Holds the result of a claim.
     *
     * @param mustExecute {@code true} if the caller has to make the attempt.
     * @param completion Completed with the record of the call; it fails if the call did not run.
     */
    record Claim(boolean mustExecute, CompletableFuture<LedgerRecord> completion) {}

    /**
     * Tells what a ledger knows of a ticket.
     *
     * @param state The ticket's state.
     * @param record The record, if the call was ended.
     */
    record LookupResult(State state, Optional<LedgerRecord> record) {}

    /** Enumerates the states of a ticket. */
    enum State {

        /** No attempt was started; one may follow. */
        OPEN,

        /** No attempt was started, and none will be. */
        NEVER_RUN,

        /** An attempt waits for its endpoint. */
        CLAIMED,

        /** Bytes may have been written. */
        STARTED,

        /** The call was ended. */
        ENDED,

        /** The ticket is so old that its record was dropped. */
        EVICTED
    }
}
