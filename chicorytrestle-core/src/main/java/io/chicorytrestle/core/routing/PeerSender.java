package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.function.ObjLongConsumer;
import org.jspecify.annotations.Nullable;

/** Carries messages to entry instances, to this one too. It must not be called under a lock. */
interface PeerSender {

    /**
     * Sends a message without waiting for an answer.
     *
     * @param instance The name of the entry instance.
     * @param message The message.
     * @param nowMillis The present time in milliseconds.
     */
    void send(String instance, PeerMessage message, long nowMillis);

    /**
     * Sends a message and waits for its answer.
     *
     * @param instance The name of the entry instance.
     * @param message The message.
     * @param nowMillis The present time in milliseconds.
     * @param consumer Receives the result with the time at which it is handled.
     */
    void request(
            String instance,
            PeerMessage message,
            long nowMillis,
            ObjLongConsumer<CallResult> consumer);

    /**
     * Holds the result of asking.
     *
     * @param reply The answer, or {@code null} if there was none.
     * @param unreachable {@code true} if certainly no byte reached the instance.
     */
    record CallResult(@Nullable PeerMessage reply, boolean unreachable) {}
}
