package io.chicorytrestle.gateway.fleet;

/**
 * Tells where an instance is met.
 *
 * @param name The name of the instance.
 * @param address The address as IP number and port, separated by a colon.
 * @param zone The availability zone.
 */
public record PeerAddress(String name, String address, String zone) {

    /** Checks the address. */
    public PeerAddress {
        if (address.isEmpty()) {
            throw new IllegalArgumentException("Instance " + name + " has no address");
        }
    }
}
