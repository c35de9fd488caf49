package io.chicorytrestle.core.identity;

/**
 * Describes one run of an endpoint as the platform lists it.
 *
 * @param identity The endpoint's name and incarnation.
 * @param kind The kind of endpoint.
 * @param pool The pool that the endpoint belongs to.
 * @param zone The availability zone that the endpoint runs in.
 * @param host The endpoint's IP address.
 * @param port The endpoint's TCP port.
 * @param capacity The number of requests that the endpoint can run concurrently, at least one.
 */
public record Endpoint(
        EndpointIdentity identity,
        EndpointKind kind,
        String pool,
        String zone,
        String host,
        int port,
        int capacity) {

    /** The largest TCP port. */
    private static final int MAXIMUM_PORT = 65535;

    /**
     * Creates a new description.
     *
     * @throws IllegalArgumentException If a name is malformed, the port is out of range or the
     *     capacity is below one.
     */
    public Endpoint {
        Names.require("pool", pool);
        Names.require("availability zone", zone);
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("Cannot use port out of range: " + port);
        }
        if (capacity < 1) {
            throw new IllegalArgumentException("Cannot use capacity below one: " + capacity);
        }
    }

    /**
     * Returns the endpoint's name.
     *
     * @return The name, which stays the same over restarts.
     */
    public String name() {
        return identity.name();
    }
}
