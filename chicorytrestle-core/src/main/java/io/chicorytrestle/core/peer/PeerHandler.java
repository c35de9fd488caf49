package io.chicorytrestle.core.peer;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Handles messages of one type from other entry instances.
 *
 * @param <M> The type of the messages.
 */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {

    /**
     * Handles a message.
     *
     * @param sender The authenticated sender.
     * @param message The message.
     * @param nowMillis The present time in milliseconds.
     * @return A future of the reply to a request, or {@code null} for a one-way message.
     */
    @Nullable CompletableFuture<? extends PeerMessage> handle(
            InstanceIdentity sender, M message, long nowMillis);
}
