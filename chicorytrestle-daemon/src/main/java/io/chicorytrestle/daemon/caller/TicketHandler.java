package io.chicorytrestle.daemon.caller;

import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.chicorytrestle.core.call.CallOutcome;
import io.chicorytrestle.core.call.CallStatus;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/** Issues tickets and reports the status of the calls that were made with them. */
final class TicketHandler implements CallerHandler {

    /** The HTTP status of a successful response. */
    private static final int OK = 200;

    /** The collaborators of this handler. */
    private final CallerDependencies dependencies;

    /**
     * Creates a handler.
     *
     * @param dependencies The collaborators of this handler.
     */
    TicketHandler(CallerDependencies dependencies) {
        this.dependencies = dependencies;
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
     * The body with a new ticket.
     *
     * @param ticket The encoded ticket.
     * @param expiresAtMillis The time at which the ticket expires, in milliseconds.
     */
    record TicketBody(String ticket, long expiresAtMillis) {}

    /**
     * The body with the status of a ticket's call.
     *
     * @param verdict The verdict in lower case.
     * @param finished {@code true} if the verdict can no longer change.
     * @param status The HTTP status of the plain service, or {@code null} if none is known.
     * @param body The response body of the plain service, or {@code null} if none is known.
     */
    record StatusBody(
            String verdict, boolean finished, @Nullable Integer status, @Nullable String body) {

        /**
         * Converts the status of a call to its body.
         *
         * @param status The status of a call.
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
