package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.InstanceIdentity;

/**
 * Describes an entry instance as another instance sees it.
 *
 * @param identity The entry instance's name, zone and incarnation.
 * @param host The IP address of its peer channel, which receives messages from other instances.
 * @param port The TCP port of its peer channel.
 * @param live {@code true} if the instance is assumed to serve and not to be leaving.
 */
public record InstanceMember(InstanceIdentity identity, String host, int port, boolean live) {}
