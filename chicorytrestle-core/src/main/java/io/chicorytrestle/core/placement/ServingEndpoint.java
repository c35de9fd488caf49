package io.chicorytrestle.core.placement;

/**
 * Describes one incarnation of an endpoint.
 *
 * @param id The identifier of the endpoint.
 * @param service The name of its service.
 * @param address The address as IP number and port, separated by a colon.
 * @param zone The availability zone.
 * @param slots The number of requests that it processes concurrently, at least one.
 * @param isLeaving Whether it finishes its work and accepts no more.
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

    /** Rejects a number of slots that is not positive. */
    public ServingEndpoint {
        if (slots <= 0) {
            throw new IllegalArgumentException(
                    "Endpoint " + id + " must have at least one slot: " + slots);
        }
    }

    /**
     * Returns a copy of this endpoint that is marked as leaving.
     *
     * @return The leaving endpoint.
     */
    public ServingEndpoint asLeaving() {
        return new ServingEndpoint(id, service, address, zone, slots, true, startMillis);
    }

    /**
     * Returns the identifier of this incarnation, which changes with each restart.
     *
     * @return The identifier and the start time, separated by an at sign.
     */
    public String incarnation() {
        return id + '@' + startMillis;
    }
}
