package io.chicorytrestle.daemon.caller;

import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.chicorytrestle.core.call.CallOutcome;
import io.chicorytrestle.core.call.CallStatus;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/** Issues tickets and tells what became of their calls. */
final class TicketHandler implements CallerHandler {

    /** The status of a successful answer. */
    private static final int OK = 200;

    /** What this handler works with. */
    private final CallerDependencies dependencies;

    /**
     * Creates a new handler.
     *
     * @param services What this handler works with.
     */
    TicketHandler(CallerDependencies services) {
        this.dependencies = services;
    }

    @Override
    public Promise<HttpResponse> handle(CallerRequest request) throws RequestFailureException {
        if (request.http().getMethod() == HttpMethod.POST) {
            String ticket =
                    dependencies
                            .callCoordinator()
                            .issueTicket(request.workspace(), request.startMillis());
            long expiresAtMillis =
                    request.startMillis() + dependencies.settings().tickets().lifeMillis();
            return Promise.of(
                    CallerResponses.json(
                            OK,
                            request.id(),
                            Verdict.NOT_RUN,
                            new TicketBody(ticket, expiresAtMillis)));
        }
        String ticket = request.http().getPathParameter("ticket");
        return Promise.ofCompletionStage(
                        dependencies
                                .callCoordinator()
                                .status(request.workspace(), ticket, request.startMillis()))
                .map(
                        status ->
                                CallerResponses.json(
                                        OK, request.id(), status.verdict(), StatusBody.of(status)));
    }

    /**
     * The body that hands out a ticket.
     *
     * @param ticket The encoded ticket.
     * @param expiresAtMillis The time until which the ticket is valid, in milliseconds.
     */
    record TicketBody(String ticket, long expiresAtMillis) {}

    /**
     * The body that tells what became of a ticket's call.
     *
     * @param verdict The verdict.
     * @param finished {@code true} if the verdict can no longer change.
     * @param status The status of the plain service, or {@code null} if none is known.
     * @param body The body of the plain service, or {@code null} if none is known.
     */
    record StatusBody(
            String verdict, boolean finished, @Nullable Integer status, @Nullable String body) {

        /**
         * Returns the body of a status.
         *
         * @param status The status.
         * @return The body.
         */
        static StatusBody of(CallStatus status) {
            return new StatusBody(
                    CallerResponses.verdictText(status.verdict()),
                    status.finished(),
                    status.outcome().map(CallOutcome::status).orElse(null),
                    status.outcome().map(CallOutcome::body).orElse(null));
        }
    }
}
