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

/** Executes calls of plain services. */
final class ServiceCallHandler implements CallerHandler {

    /** The header with the ticket of a call that is not idempotent. */
    private static final HttpHeader TICKET = HttpHeaders.of("X-Ticket");

    /** What this handler works with. */
    private final CallerDependencies dependencies;

    /**
     * Creates a new handler.
     *
     * @param services What this handler works with.
     */
    ServiceCallHandler(CallerDependencies services) {
        this.dependencies = services;
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
     * Builds the answer to a call that was executed.
     *
     * @param request The request.
     * @param outcome The outcome.
     * @return The answer.
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
     * Returns a name in the path.
     *
     * @param http The request over HTTP.
     * @param what The kind of name.
     * @return The name.
     * @throws RequestFailureException If the name is malformed.
     */
    private static String requirePathName(HttpRequest http, String what)
            throws RequestFailureException {
        String name = http.getPathParameter(what);
        if (!Names.isValid(name)) {
            throw CompletionBodies.malformed(what + " in the path is no name");
        }
        return name;
    }
}
