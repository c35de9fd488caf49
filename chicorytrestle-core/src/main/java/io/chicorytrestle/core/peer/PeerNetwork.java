package io.chicorytrestle.core.peer;

import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;

/** Sends messages to other entry instances. Implementations must be thread-safe. */
public interface PeerNetwork {

    /**
     * Sends a one-way message.
     *
     * @param instance The name of the entry instance to send to.
     * @param message The message.
     * @param priority The message's priority in the sender's queue.
     * @return {@code false} if the message was dropped at once because the instance is unknown or
     *     the queue is full; {@code true} does not mean that it arrives.
     */
    boolean send(String instance, PeerMessage message, MessagePriority priority);

    /**
     * Sends a request and returns a future of its reply.
     *
     * @param instance The name of the entry instance to send to.
     * @param message The request.
     * @param timeoutMillis The time-out of the reply in milliseconds.
     * @return A future of the reply. It fails with a {@link RequestFailureException} whose verdict
     *     is {@code NOT_RUN} only if no byte of the message was sent.
     */
    CompletableFuture<PeerMessage> request(
            String instance, PeerMessage message, long timeoutMillis);

    /** A network that reaches no other instance. */
    enum NoOp implements PeerNetwork {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public boolean send(String instance, PeerMessage message, MessagePriority priority) {
            return false;
        }

        @Override
        public CompletableFuture<PeerMessage> request(
                String instance, PeerMessage message, long timeoutMillis) {
            return CompletableFuture.failedFuture(
                    RequestFailureException.notRun(
                            FailureCode.UNAVAILABLE, "Cannot reach entry instance: " + instance));
        }
    }
}
