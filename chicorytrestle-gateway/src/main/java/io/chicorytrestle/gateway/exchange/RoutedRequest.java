package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Prompt;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.gateway.dialect.GatewayRequest;
import java.util.Optional;

/**
 * Holds a request that may be served.
 *
 * @param request What the caller asked for.
 * @param route The route.
 * @param service The service of the route that serves it.
 * @param requestBuilder Builds requests to endpoints.
 * @param crashHistory Tells what is held against the request.
 */
record RoutedRequest(
        GatewayRequest request,
        Route route,
        String service,
        EndpointRequestBuilder requestBuilder,
        RequestCrashHistory crashHistory) {

    /**
     * Returns the prompt by which an endpoint is chosen.
     *
     * @return The prompt, or empty if any endpoint serves equally well.
     */
    Optional<Prompt> prompt() {
        return route.isSticky() ? request.prompt() : Optional.empty();
    }
}
