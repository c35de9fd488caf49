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
 * @param version The version of its software, without an order, or empty if unknown.
 */
public record ServingEndpoint(
        String id,
        String service,
        String address,
        String zone,
        int slots,
        boolean isLeaving,
        long startMillis,
        String version) {

    /** Rejects a number of slots that is not positive. */
    public ServingEndpoint {
        if (slots <= 0) {
            throw new IllegalArgumentException(
                    "Endpoint " + id + " must have at least one slot: " + slots);
        }
    }

    /**
     * Creates an endpoint whose version is unknown.
     *
     * @param id The identifier of the endpoint.
     * @param service The name of its service.
     * @param address The address as IP number and port, separated by a colon.
     * @param zone The availability zone.
     * @param slots The number of requests that it processes concurrently, at least one.
     * @param isLeaving Whether it finishes its work and accepts no more.
     * @param startMillis The time of its start in milliseconds since the epoch, or zero if unknown.
     */
    public ServingEndpoint(
            String id,
            String service,
            String address,
            String zone,
            int slots,
            boolean isLeaving,
            long startMillis) {
        this(id, service, address, zone, slots, isLeaving, startMillis, "");
    }

    /**
     * Returns a copy of this endpoint that is marked as leaving.
     *
     * @return The leaving endpoint.
     */
    public ServingEndpoint asLeaving() {
        return new ServingEndpoint(id, service, address, zone, slots, true, startMillis, version);
    }

    /**
     * Returns a copy of this endpoint with another version.
     *
     * @param replacement The version, or empty if unknown.
     * @return The endpoint with that version.
     */
    public ServingEndpoint withVersion(String replacement) {
        return new ServingEndpoint(
                id, service, address, zone, slots, isLeaving, startMillis, replacement);
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
