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

/** Sets the channel between entry instances up. */
final class PeerChannelFactory {

    /** Prevents instances. */
    private PeerChannelFactory() {}

    /**
     * Chooses a free port if the settings name none, since the port is told to others before the
     * channel starts.
     *
     * @param settings The settings.
     * @return The settings with a port.
     * @throws IOException If no port can be listened at.
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
     * Creates the channel, which is not started.
     *
     * @param self The identity of this entry instance.
     * @param settings The settings.
     * @param blackboard Holds the view of the fleet.
     * @param clock Tells the present time.
     * @return The channel.
     */
    static PeerChannel create(
            InstanceIdentity self,
            Settings.Peers settings,
            Blackboard blackboard,
            MonotonicClock clock) {
        PeerLimits usual = PeerLimits.DEFAULT;
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
                                usual.maximumFrameBytes(),
                                usual.maximumQueuedMessages(),
                                usual.maximumPeers(),
                                usual.connectTimeoutMillis())),
                blackboard,
                clock::nowMillis);
    }
}
