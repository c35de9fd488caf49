package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Prompt;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.gateway.dialect.GatewayRequest;
import java.util.Optional;

/**
 * Holds a request that may be sent to an endpoint.
 *
 * @param request The request as read from its head.
 * @param route The route that matches the host and the path.
 * @param service The service selected from those of the route.
 * @param requestBuilder Builds the requests to endpoints.
 * @param crashHistory The crashes of endpoints under the same request content.
 */
record RoutedRequest(
        GatewayRequest request,
        Route route,
        String service,
        EndpointRequestBuilder requestBuilder,
        RequestCrashHistory crashHistory) {

    /**
     * Returns the prompt whose cached parts decide on the placement.
     *
     * @return The prompt, or empty if the route does not prefer endpoints with cached parts.
     */
    Optional<Prompt> prompt() {
        return route.isSticky() ? request.prompt() : Optional.empty();
    }
}
