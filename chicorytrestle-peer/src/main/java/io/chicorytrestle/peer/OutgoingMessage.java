package io.chicorytrestle.peer;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * An encoded message to send, with the future of its reply. Its state is confined to the event
 * loop's thread.
 *
 * @param target The name of the target instance.
 * @param envelope The encoded envelope.
 * @param priority The message's priority.
 * @param correlation The number that matches a reply to its request; zero if no reply is expected.
 * @param reply The future of the reply, which is used by requests only.
 * @param connection The connection that a reply is sent over, or empty to use the link to the
 *     target.
 */
@SuppressWarnings("ArrayRecordComponent")
record OutgoingMessage(
        String target,
        byte[] envelope,
        MessagePriority priority,
        long correlation,
        CompletableFuture<PeerMessage> reply,
        Optional<PeerConnection> connection) {

    /**
     * Creates a one-way message.
     *
     * @param target The name of the target instance.
     * @param envelope The encoded envelope.
     * @param priority The message's priority.
     * @return The message to send.
     */
    static OutgoingMessage oneWay(String target, byte[] envelope, MessagePriority priority) {
        return new OutgoingMessage(
                target, envelope, priority, 0, new CompletableFuture<>(), Optional.empty());
    }

    /**
     * Creates a request.
     *
     * @param target The name of the target instance.
     * @param envelope The encoded envelope.
     * @param correlation The number that matches the reply to the request, not zero.
     * @return The message to send.
     */
    static OutgoingMessage request(String target, byte[] envelope, long correlation) {
        return new OutgoingMessage(
                target,
                envelope,
                MessagePriority.REQUEST,
                correlation,
                new CompletableFuture<>(),
                Optional.empty());
    }

    /**
     * Creates a reply to a request.
     *
     * @param connection The connection that the request was received over.
     * @param envelope The encoded envelope.
     * @return The message to send.
     */
    static OutgoingMessage reply(PeerConnection connection, byte[] envelope) {
        String target = connection.peer().map(InstanceIdentity::name).orElse("");
        return new OutgoingMessage(
                target,
                envelope,
                MessagePriority.REQUEST,
                0,
                new CompletableFuture<>(),
                Optional.of(connection));
    }

    /**
     * Returns {@code true} if the message is a request.
     *
     * @return {@code true} if a reply is expected.
     */
    boolean expectsReply() {
        return correlation != 0;
    }

    /**
     * Returns {@code true} if the request got its reply or failed, such as by a time-out.
     *
     * @return {@code true} if no reply is awaited any more.
     */
    boolean isCompleted() {
        return reply.isDone();
    }

    /**
     * Fails the request with the verdict that it did not run, as no byte of it was sent.
     *
     * @param reason The reason, which is part of the error message.
     */
    void failUnsent(String reason) {
        reply.completeExceptionally(
                RequestFailureException.notRun(FailureCode.UNAVAILABLE, errorMessage(reason)));
    }

    /**
     * Fails the request with the verdict that it may have run, as it was sent.
     *
     * @param reason The reason, which is part of the error message.
     */
    void failSent(String reason) {
        reply.completeExceptionally(
                RequestFailureException.mayHaveRun(FailureCode.UNAVAILABLE, errorMessage(reason)));
    }

    /**
     * Returns the error message of a failed request.
     *
     * @param reason The reason for the failure.
     * @return The error message, which names the target.
     */
    private String errorMessage(String reason) {
        return "Cannot ask entry instance %s, %s".formatted(target, reason);
    }
}
