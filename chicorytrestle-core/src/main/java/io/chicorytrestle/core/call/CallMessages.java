package io.chicorytrestle.core.call;

import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.ticket.LedgerRecord;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.List;
import java.util.Optional;

/**
 * Groups the messages by which entry instances forward calls and status queries to the holder of a
 * ticket's ledger, and hand ledgers over.
 */
public final class CallMessages {

    /** Prevents instantiation. */
    private CallMessages() {}

    /**
     * Requests that the holder of a ticket's ledger executes the ticket's call.
     *
     * @param requestId The identifier of the request.
     * @param workspace The workspace that makes the call.
     * @param pool The pool of plain services.
     * @param operation The name of the operation.
     * @param body The body.
     * @param ticket The encoded ticket.
     * @param deadlineMillis The deadline of the call, in milliseconds.
     */
    public record ForwardRequest(
            String requestId,
            String workspace,
            String pool,
            String operation,
            String body,
            String ticket,
            long deadlineMillis)
            implements PeerMessage {

        /**
         * Returns the message that forwards a call.
         *
         * @param call The call, which has a ticket.
         * @return The message.
         */
        static ForwardRequest of(ServiceCall call) {
            return new ForwardRequest(
                    call.requestId(),
                    call.workspace(),
                    call.pool(),
                    call.operation(),
                    call.body(),
                    call.ticket().orElseThrow(),
                    call.deadlineMillis());
        }

        /**
         * Returns the call that was forwarded.
         *
         * @return The call.
         */
        ServiceCall toServiceCall() {
            return new ServiceCall(
                    requestId,
                    workspace,
                    pool,
                    operation,
                    body,
                    false,
                    Optional.of(ticket),
                    Optional.empty(),
                    deadlineMillis);
        }
    }

    /**
     * Queries the status of a ticket's call.
     *
     * @param workspace The workspace that requests the status.
     * @param ticket The encoded ticket.
     */
    public record StatusQuery(String workspace, String ticket) implements PeerMessage {}

    /**
     * Replies with the status of a ticket's call.
     *
     * @param issuerKnown {@code false} if the replying instance doesn't hold the ledger of the
     *     ticket's issuer.
     * @param verdict The verdict's name.
     * @param finished {@code true} if the verdict can no longer change.
     * @param outcomeStored {@code true} if status and body are the complete outcome.
     * @param status The status code of the plain service's response, or zero.
     * @param body The complete body, or an empty string.
     */
    public record StatusReply(
            boolean issuerKnown,
            String verdict,
            boolean finished,
            boolean outcomeStored,
            int status,
            String body)
            implements PeerMessage {

        /** The reply of an instance that doesn't hold the ledger of the ticket's issuer. */
        static final StatusReply ISSUER_UNKNOWN =
                new StatusReply(false, Verdict.MAY_HAVE_RUN.name(), false, false, 0, "");

        /**
         * Returns the message that carries a status.
         *
         * @param status The status.
         * @return The message.
         */
        static StatusReply of(CallStatus status) {
            return new StatusReply(
                    true,
                    status.verdict().name(),
                    status.finished(),
                    status.outcome().isPresent(),
                    status.outcome().map(CallOutcome::status).orElse(0),
                    status.outcome().map(CallOutcome::body).orElse(""));
        }

        /**
         * Returns the status that the message carries, with the outcome marked as replayed.
         *
         * @return The status.
         */
        CallStatus toCallStatus() {
            return new CallStatus(
                    Verdict.valueOf(verdict),
                    finished,
                    outcomeStored
                            ? Optional.of(new CallOutcome(status, body, true))
                            : Optional.empty());
        }
    }

    /**
     * Replies to a forwarded call.
     *
     * @param issuerKnown {@code false} if the replying instance doesn't hold the ledger of the
     *     ticket's issuer.
     * @param code The name of the failure's code, or an empty string if the call succeeded.
     * @param verdict The name of the failure's verdict, or an empty string if the call succeeded.
     * @param messageOrBody The failure's message, or the body of a successful outcome.
     * @param status The status code of the plain service's response, or zero.
     * @param replayed {@code true} if the outcome was stored by an earlier call.
     * @param retryAfterMillis The advised delay before a retry, in milliseconds.
     */
    public record ForwardReply(
            boolean issuerKnown,
            String code,
            String verdict,
            String messageOrBody,
            int status,
            boolean replayed,
            long retryAfterMillis)
            implements PeerMessage {

        /** The reply of an instance that doesn't hold the ledger of the ticket's issuer. */
        static final ForwardReply ISSUER_UNKNOWN = new ForwardReply(false, "", "", "", 0, false, 0);

        /**
         * Returns the message that carries an outcome.
         *
         * @param outcome The outcome.
         * @return The message.
         */
        static ForwardReply of(CallOutcome outcome) {
            return new ForwardReply(
                    true,
                    "",
                    "",
                    outcome.body(),
                    outcome.status(),
                    outcome.replayed(),
                    RequestFailureException.NO_RETRY_ADVICE);
        }

        /**
         * Returns the message that carries a failure.
         *
         * @param failure The failure.
         * @return The message.
         */
        static ForwardReply of(RequestFailureException failure) {
            return new ForwardReply(
                    true,
                    failure.code().name(),
                    failure.verdict().name(),
                    failure.message(),
                    0,
                    false,
                    failure.retryAfterMillis());
        }

        /**
         * Returns the outcome that the message carries.
         *
         * @return The outcome.
         * @throws RequestFailureException If the message carries a failure.
         */
        CallOutcome toOutcome() throws RequestFailureException {
            if (code.isEmpty()) {
                return new CallOutcome(status, messageOrBody, replayed);
            }
            throw new RequestFailureException(
                    FailureCode.valueOf(code),
                    Verdict.valueOf(verdict),
                    messageOrBody,
                    retryAfterMillis);
        }
    }

    /**
     * Hands over a part of the sealed ledger of an instance that shuts down to a successor.
     *
     * @param name The name of the instance that owns the ledger.
     * @param incarnation The incarnation of the instance that owns the ledger.
     * @param records The records of this part, one for each started call.
     * @param lastPart {@code true} in the last part.
     */
    public record LedgerPart(
            String name, long incarnation, List<LedgerRecord> records, boolean lastPart)
            implements PeerMessage {}
}
