package io.chicorytrestle.bench.quickstart;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Set;

/** Finds free ports below the range that the operating system uses for outgoing connections. */
final class FreePortFinder {

    /** The lowest port to try. */
    private static final int LOWEST_PORT = 20_000;

    /** The number of ports to choose from. */
    private static final int PORT_COUNT = 12_000;

    /** The maximum number of ports to try for one allocation. */
    private static final int MAXIMUM_ATTEMPTS = 1_000;

    /** Picks ports independently of the run's seed, so that concurrent runs don't collide. */
    private final SecureRandom random = new SecureRandom();

    /** The ports that this finder has returned. */
    private final Set<Integer> allocatedPorts = new HashSet<>();

    /**
     * Returns a port that is currently free and was not returned before.
     *
     * @return The port.
     * @throws IOException If no free port was found.
     */
    int allocate() throws IOException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            int port = LOWEST_PORT + random.nextInt(PORT_COUNT);
            if (!allocatedPorts.contains(port) && isFree(port)) {
                allocatedPorts.add(port);
                return port;
            }
        }
        throw new IOException("No free port found, attempts: " + MAXIMUM_ATTEMPTS);
    }

    /**
     * Returns {@code true} if a port is currently free.
     *
     * @param port The port.
     * @return {@code true} if a server socket could be bound to the port.
     */
    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException exception) {
            return false;
        }
    }
}
