package io.chicorytrestle.bench.quickstart;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Set;

/** Finds free ports below those that the operating system hands to outgoing connections. */
final class FreePortFinder {

    /** The lowest port to try. */
    private static final int LOWEST_PORT = 20_000;

    /** The number of ports to choose from. */
    private static final int PORT_COUNT = 12_000;

    /** The tries before giving up. */
    private static final int MAXIMUM_ATTEMPTS = 1_000;

    /** Chooses ports, apart from the run's seed so that runs beside each other do not collide. */
    private final SecureRandom random = new SecureRandom();

    /** The ports that were handed out. */
    private final Set<Integer> allocatedPorts = new HashSet<>();

    /**
     * Returns a port that is free now.
     *
     * @return The port.
     * @throws IOException If none was found.
     */
    int allocate() throws IOException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            int port = LOWEST_PORT + random.nextInt(PORT_COUNT);
            if (!allocatedPorts.contains(port) && isFree(port)) {
                allocatedPorts.add(port);
                return port;
            }
        }
        throw new IOException("Cannot find free port in tries: " + MAXIMUM_ATTEMPTS);
    }

    /**
     * Returns {@code true} if a port is free now.
     *
     * @param port The port.
     * @return {@code true} if the port could be listened at.
     */
    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException exception) {
            return false;
        }
    }
}
