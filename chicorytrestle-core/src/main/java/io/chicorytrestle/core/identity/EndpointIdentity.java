package io.chicorytrestle.core.identity;

/**
 * Identifies one run of an endpoint.
 *
 * @param name The name of the endpoint, which stays the same over restarts.
 * @param incarnation A number that increases with each start of the endpoint.
 */
public record EndpointIdentity(String name, long incarnation) {

    /**
     * Creates a new identity.
     *
     * @throws IllegalArgumentException If the name is malformed or the incarnation is negative.
     */
    public EndpointIdentity {
        Names.require("endpoint", name);
        if (incarnation < 0) {
            throw new IllegalArgumentException("Cannot use negative incarnation: " + incarnation);
        }
    }
}
