package io.chicorytrestle.core.placement;

/**
 * Describes one incarnation of an endpoint.
 *
 * @param id The identifier of the endpoint.
 * @param service The name of its service.
 * @param address The address as IP number and port, separated by a colon.
 * @param zone The availability zone.
 * @param slots The requests that it processes at the same time.
 * @param isLeaving Whether it finishes its work and takes no more.
 * @param startMillis The time of its start in milliseconds since the epoch, or zero if unknown.
 */
public record ServingEndpoint(
        String id,
        String service,
        String address,
        String zone,
        int slots,
        boolean isLeaving,
        long startMillis) {

    /** Checks the slots. */
    public ServingEndpoint {
        if (slots <= 0) {
            throw new IllegalArgumentException("Endpoint " + id + " has no slots: " + slots);
        }
    }

    /**
     * Returns this endpoint as one that takes no more work.
     *
     * @return The leaving endpoint.
     */
    public ServingEndpoint asLeaving() {
        return new ServingEndpoint(id, service, address, zone, slots, true, startMillis);
    }

    /**
     * Returns what tells this incarnation from all others.
     *
     * @return The identifier with the time of the start.
     */
    public String incarnation() {
        return id + '@' + startMillis;
    }
}
