package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;

/**
 * An endpoint that can run a request.
 *
 * @param endpoint The endpoint.
 * @param expectedCachedTokens The tokens of the prompt that the endpoint is estimated to hold.
 */
public record Candidate(Endpoint endpoint, int expectedCachedTokens) {}
