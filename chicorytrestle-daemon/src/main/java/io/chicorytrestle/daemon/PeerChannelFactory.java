package io.chicorytrestle.daemon;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import io.chicorytrestle.peer.PeerChannel;
import io.chicorytrestle.peer.PeerKey;
import io.chicorytrestle.peer.PeerLimits;
import io.chicorytrestle.peer.PeerSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Creates the channel to other entry instances from the settings. */
final class PeerChannelFactory {

    /** Not instantiable. */
    private PeerChannelFactory() {}

    /**
     * Assigns a free port if the settings give none, since the port is announced to other entry
     * instances before the channel listens.
     *
     * @param settings The settings of the channel.
     * @return The settings with a port.
     * @throws IOException If no free port can be bound.
     */
    static Settings.Peers withAssignedPort(Settings.Peers settings) throws IOException {
        if (settings.port() != 0) {
            return settings;
        }
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(settings.host()))) {
            return new Settings.Peers(
                    settings.host(),
                    socket.getLocalPort(),
                    settings.bytesPerSecond(),
                    settings.keys());
        }
    }

    /**
     * Creates a channel without starting it.
     *
     * @param self The identity of this entry instance.
     * @param settings The settings of the channel, with a port.
     * @param blackboard Supplies the membership view with the addresses of other entry instances.
     * @param clock Supplies the current time.
     * @return The channel.
     */
    static PeerChannel create(
            InstanceIdentity self,
            Settings.Peers settings,
            Blackboard blackboard,
            MonotonicClock clock) {
        PeerLimits defaults = PeerLimits.DEFAULT;
        return new PeerChannel(
                new PeerSettings(
                        self,
                        settings.host(),
                        settings.port(),
                        settings.keys().stream()
                                .map(key -> new PeerKey(key.id(), key.secret()))
                                .toList(),
                        new PeerLimits(
                                settings.bytesPerSecond(),
                                defaults.maximumFrameBytes(),
                                defaults.maximumQueuedMessages(),
                                defaults.maximumPeers(),
                                defaults.connectTimeoutMillis())),
                blackboard,
                clock::nowMillis);
    }
}
