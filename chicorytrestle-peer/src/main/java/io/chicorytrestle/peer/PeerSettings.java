package io.chicorytrestle.peer;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.List;

/**
 * Holds the settings of an entry instance's peer channel.
 *
 * @param identity The identity of this entry instance.
 * @param host The IP address to listen on.
 * @param port The TCP port to listen on, or zero for any free one.
 * @param keys The shared keys in order of preference. To rotate a key without interruption, append
 *     the new one on all instances, then move it to the front on all, then remove the old one.
 * @param limits The limits of the channel.
 */
public record PeerSettings(
        InstanceIdentity identity, String host, int port, List<PeerKey> keys, PeerLimits limits) {

    /**
     * Creates new settings.
     *
     * @throws IllegalArgumentException If there is no key.
     */
    public PeerSettings {
        keys = List.copyOf(keys);
        if (keys.isEmpty()) {
            throw new IllegalArgumentException(
                    "Cannot prove identity without peer keys: " + identity);
        }
    }
}
