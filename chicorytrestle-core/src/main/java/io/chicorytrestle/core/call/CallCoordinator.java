package io.chicorytrestle.core.call;

import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;

/**
 * Executes calls on plain services; calls that are not idempotent are executed at most once.
 * Implementations are thread-safe.
 */
public interface CallCoordinator {

    /**
     * Issues a ticket that permits one call that is not idempotent.
     *
     * @param workspace The workspace that will call.
     * @param nowMillis The current time in milliseconds.
     * @return The encoded ticket.
     * @throws RequestFailureException If this instance can't issue tickets at present, for example
     *     because its ledger is full or it is shutting down.
     */
    String issueTicket(String workspace, long nowMillis) throws RequestFailureException;

    /**
     * Executes a call, locally or at the instance that its ticket is pinned to.
     *
     * @param call The call.
     * @param nowMillis The current time in milliseconds.
     * @return The outcome. It fails with a {@link RequestFailureException} that carries the
     *     verdict.
     */
    CompletableFuture<CallOutcome> call(ServiceCall call, long nowMillis);

    /**
     * Looks up the status of a ticket's call.
     *
     * @param workspace The workspace that requests the status.
     * @param ticket The encoded ticket.
     * @param nowMillis The current time in milliseconds.
     * @return The status. It fails with a {@link RequestFailureException} if the ticket is refused
     *     or no instance that holds its ledger replies.
     */
    CompletableFuture<CallStatus> status(String workspace, String ticket, long nowMillis);
}
