package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.InstanceIdentity;

/**
 * Holds an entry instance with its peer address and its assumed state.
 *
 * @param identity The entry instance's name, zone and incarnation.
 * @param host The IP address of the peer channel.
 * @param port The TCP port of the peer channel.
 * @param live {@code true} if the instance is assumed to serve and not to be leaving.
 */
public record InstanceMember(InstanceIdentity identity, String host, int port, boolean live) {}
