package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.verdict.Verdict;

/**
 * Holds what a ledger keeps of a ticket's call that was started.
 *
 * @param number The ticket's number.
 * @param workspace The ticket's workspace.
 * @param callHash The hash of the call that the ticket was used for.
 * @param expiresAtMillis The ticket's expiry in milliseconds.
 * @param verdict Whether the call was executed.
 * @param status The status that the plain service answered with, or zero.
 * @param body The whole body, or an empty text.
 * @param outcomeStored {@code true} if status and body are the whole outcome.
 */
public record LedgerRecord(
        long number,
        String workspace,
        String callHash,
        long expiresAtMillis,
        Verdict verdict,
        int status,
        String body,
        boolean outcomeStored) {

    /**
     * Returns a record of a call whose outcome is not known.
     *
     * @param ticket The ticket.
     * @param callHash The hash of the call.
     * @return The record.
     */
    public static LedgerRecord inDoubt(Ticket ticket, String callHash) {
        return new LedgerRecord(
                ticket.number(),
                ticket.workspace(),
                callHash,
                ticket.expiresAtMillis(),
                Verdict.MAY_HAVE_RUN,
                0,
                "",
                false);
    }

    /**
     * Returns a record of a call that was executed.
     *
     * @param ticket The ticket.
     * @param callHash The hash of the call.
     * @param status The status that the plain service answered with.
     * @param body The whole body.
     * @return The record.
     */
    public static LedgerRecord executed(Ticket ticket, String callHash, int status, String body) {
        return new LedgerRecord(
                ticket.number(),
                ticket.workspace(),
                callHash,
                ticket.expiresAtMillis(),
                Verdict.RAN,
                status,
                body,
                true);
    }

    /**
     * Returns this record without its body.
     *
     * @return A record that says only that the call was executed.
     */
    public LedgerRecord withoutBody() {
        return new LedgerRecord(
                number, workspace, callHash, expiresAtMillis, verdict, status, "", false);
    }
}
