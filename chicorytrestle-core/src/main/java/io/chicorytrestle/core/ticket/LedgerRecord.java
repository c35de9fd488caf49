package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.verdict.Verdict;

/**
 * Records the outcome of a ticket's call that was started.
 *
 * @param number The ticket's number.
 * @param workspace The ticket's workspace.
 * @param callHash The hash of the content of the call that the ticket was used for.
 * @param expiresAtMillis The ticket's expiry in milliseconds.
 * @param verdict {@code RAN} if the call was executed, {@code MAY_HAVE_RUN} if that is in doubt.
 * @param status The status code of the plain service's response, or zero.
 * @param body The complete body, or an empty string.
 * @param outcomeStored {@code true} if status and body are the complete outcome.
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
     * Returns a record of a call whose outcome is in doubt.
     *
     * @param ticket The ticket.
     * @param callHash The hash of the call's content.
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
     * @param callHash The hash of the call's content.
     * @param status The status code of the plain service's response.
     * @param body The complete body.
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
     * Returns this record without its body, for one that is too large to store.
     *
     * @return A record of the verdict only.
     */
    public LedgerRecord withoutBody() {
        return new LedgerRecord(
                number, workspace, callHash, expiresAtMillis, verdict, status, "", false);
    }
}
