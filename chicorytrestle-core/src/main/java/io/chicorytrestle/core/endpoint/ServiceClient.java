package io.chicorytrestle.core.endpoint;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/** Sends requests to plain services. Implementations are thread-safe. */
public interface ServiceClient {

    /**
     * Executes an operation. The request is sent at most once.
     *
     * @param service The plain service.
     * @param request The request.
     * @param mayWrite Evaluated with the current time in milliseconds immediately before the first
     *     byte is written; if it returns {@code false}, nothing is written and the call fails with
     *     the verdict {@code NOT_RUN}.
     * @return The complete response. It fails with a {@link RequestFailureException} whose verdict
     *     is {@code NOT_RUN} only if no byte was written or the service refused in a way that its
     *     protocol defines as not run.
     */
    CompletableFuture<ServiceResponse> execute(
            Endpoint service, ServiceRequest request, LongPredicate mayWrite);
}
