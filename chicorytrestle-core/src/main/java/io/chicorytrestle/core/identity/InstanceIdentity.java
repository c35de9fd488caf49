package io.chicorytrestle.core.identity;

/**
 * Identifies one run of an entry instance.
 *
 * @param name The name of the entry instance, which stays the same over restarts.
 * @param zone The availability zone of the entry instance.
 * @param incarnation A number that increases with each start of the entry instance.
 */
public record InstanceIdentity(String name, String zone, long incarnation) {

    /**
     * Creates a new identity.
     *
     * @throws IllegalArgumentException If a name is malformed or the incarnation is negative.
     */
    public InstanceIdentity {
        Names.require("entry instance", name);
        Names.require("availability zone", zone);
        if (incarnation < 0) {
            throw new IllegalArgumentException("Cannot use negative incarnation: " + incarnation);
        }
    }
}
