package io.chicorytrestle.core.peer;

import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.concurrent.CompletableFuture;

/** Sends messages to other entry instances. Implementations may be called by several threads. */
public interface PeerNetwork {

    /**
     * Sends a message without waiting for an answer.
     *
     * @param instance The name of the entry instance to send to.
     * @param message The message.
     * @param urgency The message's rank in the sender's byte budget.
     * @return {@code false} if the message was dropped at once because the instance is unknown or
     *     the queue is full.
     */
    boolean send(String instance, PeerMessage message, MessagePriority urgency);

    /**
     * Sends a message and waits for its answer.
     *
     * @param instance The name of the entry instance to ask.
     * @param message The message.
     * @param timeoutMillis The most milliseconds to wait.
     * @return The answer. It fails with a {@link RequestFailureException} whose verdict is {@code
     *     NOT_RUN} only if no byte of the message was sent.
     */
    CompletableFuture<PeerMessage> request(
            String instance, PeerMessage message, long timeoutMillis);

    /** A network that reaches nobody. */
    enum NoOp implements PeerNetwork {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
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
