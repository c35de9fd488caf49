package io.chicorytrestle.daemon.caller;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.chicorytrestle.core.call.CallOutcome;
import io.chicorytrestle.core.call.ServiceCall;
import io.chicorytrestle.core.identity.Names;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.nio.charset.StandardCharsets;

/** Handles calls of plain services. */
final class ServiceCallHandler implements CallerHandler {

    /** The header with the ticket that makes a non-idempotent call run at most once. */
    private static final HttpHeader TICKET = HttpHeaders.of("X-Ticket");

    /** The collaborators of this handler. */
    private final CallerDependencies dependencies;

    /**
     * Creates a handler.
     *
     * @param dependencies The collaborators of this handler.
     */
    ServiceCallHandler(CallerDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Override
    public Promise<HttpResponse> handle(CallerRequest request) throws RequestFailureException {
        HttpRequest http = request.http();
        String pool = requirePathName(http, "pool");
        String operation = requirePathName(http, "operation");
        boolean idempotent = http.getMethod() == HttpMethod.GET;
        String body = idempotent ? http.getQuery() : request.body();
        ServiceCall call =
                new ServiceCall(
                        request.id(),
                        request.workspace(),
                        pool,
                        operation,
                        body,
                        idempotent,
                        request.header(TICKET),
                        request.header(ChatHandler.IDEMPOTENCY_KEY),
                        request.deadlineMillis());
        return Promise.ofCompletionStage(
                        dependencies.callCoordinator().call(call, request.startMillis()))
                .map(outcome -> buildResponse(request, outcome));
    }

    /**
     * Builds the response for the outcome of a call.
     *
     * @param request The request.
     * @param outcome The outcome, of this call or stored from an earlier one with the same ticket.
     * @return The response.
     */
    private static HttpResponse buildResponse(CallerRequest request, CallOutcome outcome) {
        HttpResponse.Builder builder =
                CallerResponses.responseBuilder(
                                outcome.status(), request.id(), Verdict.RAN, CallerResponses.JSON)
                        .withBody(outcome.body().getBytes(StandardCharsets.UTF_8));
        if (outcome.replayed()) {
            builder.withHeader(CallerResponses.REPLAYED, "true");
        }
        return builder.build();
    }

    /**
     * Returns a path parameter that must be a valid name.
     *
     * @param http The HTTP request.
     * @param parameter The path parameter.
     * @return The name.
     * @throws RequestFailureException If the value is not a valid name.
     */
    private static String requirePathName(HttpRequest http, String parameter)
            throws RequestFailureException {
        String name = http.getPathParameter(parameter);
        if (!Names.isValid(name)) {
            throw CompletionBodies.malformed(parameter + " in the path is no name");
        }
        return name;
    }
}
