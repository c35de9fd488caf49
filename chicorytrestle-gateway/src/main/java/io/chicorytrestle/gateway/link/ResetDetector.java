package io.chicorytrestle.gateway.link;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Detects that a peer reset a connection after it had ended its sending side. Reads report only the
 * end of the stream then.
 */
final class ResetDetector {

    /** Prevents instantiation. */
    private ResetDetector() {}

    /**
     * Returns whether a connection was reset. An established connection is never ready to be
     * connected, but a broken one is ready for whatever is asked.
     *
     * @param channel A connected channel in non-blocking mode.
     * @return {@code true} if the connection was reset, or its state cannot be determined.
     */
    static boolean isReset(SocketChannel channel) {
        try (Selector selector = Selector.open()) {
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException exception) {
            return true;
        }
    }
}
