package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;

/**
 * A granted slot.
 *
 * @param requestNumber The number of the request.
 * @param endpoint The endpoint of the slot.
 * @param expectedCachedTokens The tokens of the prompt that the endpoint is estimated to hold.
 */
record Grant(long requestNumber, Endpoint endpoint, int expectedCachedTokens) {}
