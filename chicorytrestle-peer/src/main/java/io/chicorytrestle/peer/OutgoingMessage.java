package io.chicorytrestle.peer;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Holds an envelope that is to be sent. Its state is confined to the event loop's thread.
 *
 * @param target The name of the instance to send to.
 * @param envelope The encoded envelope.
 * @param priority The message's rank.
 * @param correlation The number that joins an answer with its question; zero if none is awaited.
 * @param reply Completed with the answer, or by failure.
 * @param connection The connection to send over, or empty for the link to the target.
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
     * Holds a message without an answer.
     *
     * @param target The name of the instance to send to.
     * @param envelope The encoded envelope.
     * @param urgency The message's rank.
     * @return What is to be sent.
     */
    static OutgoingMessage oneWay(String target, byte[] envelope, MessagePriority urgency) {
        return new OutgoingMessage(
                target, envelope, urgency, 0, new CompletableFuture<>(), Optional.empty());
    }

    /**
     * Holds a question.
     *
     * @param target The name of the instance to send to.
     * @param envelope The encoded envelope.
     * @param correlation The number that joins the answer with the question.
     * @return What is to be sent.
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
     * Holds an answer.
     *
     * @param connection The connection that the question came over.
     * @param envelope The encoded envelope.
     * @return What is to be sent.
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
     * Returns {@code true} if an answer is awaited.
     *
     * @return {@code true} if an answer is awaited.
     */
    boolean expectsReply() {
        return correlation != 0;
    }

    /**
     * Returns {@code true} if nobody waits for the answer any more.
     *
     * @return {@code true} if the question was given up.
     */
    boolean isCompleted() {
        return reply.isDone();
    }

    /**
     * Fails the question, of which no byte was sent.
     *
     * @param reason Why it was not sent.
     */
    void failUnsent(String reason) {
        reply.completeExceptionally(
                RequestFailureException.notRun(FailureCode.UNAVAILABLE, errorMessage(reason)));
    }

    /**
     * Fails the question, which was sent.
     *
     * @param reason Why there is no answer.
     */
    void failSent(String reason) {
        reply.completeExceptionally(
                RequestFailureException.mayHaveRun(FailureCode.UNAVAILABLE, errorMessage(reason)));
    }

    /**
     * Returns an error's text.
     *
     * @param reason What went wrong.
     * @return The text.
     */
    private String errorMessage(String reason) {
        return "Cannot ask entry instance %s, %s".formatted(target, reason);
    }
}
