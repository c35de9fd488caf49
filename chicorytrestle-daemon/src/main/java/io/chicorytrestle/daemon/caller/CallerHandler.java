package io.chicorytrestle.daemon.caller;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.chicorytrestle.core.verdict.RequestFailureException;

/** Handles authenticated requests in the event loop of the caller's connection. */
@FunctionalInterface
interface CallerHandler {

    /**
     * Handles a request whose body was received completely.
     *
     * @param request The request.
     * @return The response. It fails with a {@link RequestFailureException} that carries the
     *     verdict.
     * @throws RequestFailureException If the request is refused before any asynchronous work.
     */
    Promise<HttpResponse> handle(CallerRequest request) throws RequestFailureException;
}
