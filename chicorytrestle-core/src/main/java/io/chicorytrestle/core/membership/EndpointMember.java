package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.Endpoint;

/**
 * Holds an endpoint with its assumed state.
 *
 * @param endpoint The endpoint.
 * @param state The state that this entry instance assumes.
 */
public record EndpointMember(Endpoint endpoint, EndpointState state) {}
