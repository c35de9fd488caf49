package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.function.ObjLongConsumer;
import org.jspecify.annotations.Nullable;

/** Sends messages to entry instances, including this one. It must not be called under a lock. */
interface PeerSender {

    /**
     * Sends a message that has no reply.
     *
     * @param instance The name of the entry instance.
     * @param message The message.
     * @param nowMillis The current time in milliseconds.
     */
    void send(String instance, PeerMessage message, long nowMillis);

    /**
     * Sends a message and passes its reply to a consumer. Does not block.
     *
     * @param instance The name of the entry instance.
     * @param message The message.
     * @param nowMillis The current time in milliseconds.
     * @param consumer Receives the result and the time at which it is handled, in milliseconds.
     */
    void request(
            String instance,
            PeerMessage message,
            long nowMillis,
            ObjLongConsumer<CallResult> consumer);

    /**
     * The result of a request to an entry instance.
     *
     * @param reply The reply, or {@code null} if there was none.
     * @param unreachable {@code true} if it is certain that no byte reached the instance.
     */
    record CallResult(@Nullable PeerMessage reply, boolean unreachable) {}
}
