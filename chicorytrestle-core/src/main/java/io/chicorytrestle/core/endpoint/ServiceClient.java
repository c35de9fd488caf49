package io.chicorytrestle.core.endpoint;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/** Reaches plain services. Implementations may be called by several threads. */
public interface ServiceClient {

    /**
     * Executes an operation, sending it once at most.
     *
     * @param service The plain service.
     * @param request The request.
     * @param mayWrite Asked with the present time in milliseconds immediately before the first byte
     *     is written; if it returns {@code false} nothing is written and the call fails as {@code
     *     NOT_RUN}.
     * @return The whole answer. It fails with a {@link RequestFailureException} whose verdict is
     *     {@code NOT_RUN} only if no byte was written or the service refused in a way that its
     *     protocol defines as not run.
     */
    CompletableFuture<ServiceResponse> execute(
            Endpoint service, ServiceRequest request, LongPredicate mayWrite);
}
