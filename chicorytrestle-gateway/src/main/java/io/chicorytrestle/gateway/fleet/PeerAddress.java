package io.chicorytrestle.gateway.fleet;

/**
 * Holds the address at which an instance accepts connections from its peers.
 *
 * @param name The name of the instance.
 * @param address The address as IP number and port, separated by a colon.
 * @param zone The availability zone.
 */
public record PeerAddress(String name, String address, String zone) {

    /** Checks that there is an address. */
    public PeerAddress {
        if (address.isEmpty()) {
            throw new IllegalArgumentException("Instance " + name + " has no address");
        }
    }
}
