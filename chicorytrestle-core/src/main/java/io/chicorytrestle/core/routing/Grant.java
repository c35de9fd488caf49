package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;

/**
 * Holds a place that was granted.
 *
 * @param requestNumber The number of the request.
 * @param endpoint The endpoint.
 * @param expectedCachedTokens The tokens of the prompt that the endpoint is believed to hold.
 */
record Grant(long requestNumber, Endpoint endpoint, int expectedCachedTokens) {}
