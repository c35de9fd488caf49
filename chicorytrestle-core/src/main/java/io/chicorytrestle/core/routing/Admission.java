package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;

/**
 * Permits one piece of work on one endpoint. The caller that received it releases it through {@link
 * Dispatcher#complete} exactly once.
 *
 * @param requestId The identifier of the request.
 * @param workspace The workspace whose ceiling and share the work counts against.
 * @param endpoint The endpoint to run the work on.
 * @param priority The priority to pass to the endpoint.
 * @param expectedCachedTokens The tokens of the prompt that the endpoint is estimated to hold.
 */
public record Admission(
        String requestId,
        String workspace,
        Endpoint endpoint,
        int priority,
        int expectedCachedTokens) {}
