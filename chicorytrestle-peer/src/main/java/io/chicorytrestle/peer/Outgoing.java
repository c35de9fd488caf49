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
 * @param urgency The message's rank.
 * @param correlation The number that joins an answer with its question; zero if none is awaited.
 * @param answer Completed with the answer, or by failure.
 * @param connection The connection to send over, or empty for the link to the target.
 */
@SuppressWarnings("ArrayRecordComponent")
record Outgoing(
        String target,
        byte[] envelope,
        MessagePriority urgency,
        long correlation,
        CompletableFuture<PeerMessage> answer,
        Optional<PeerConnection> connection) {

    /**
     * Holds a message without an answer.
     *
     * @param target The name of the instance to send to.
     * @param envelope The encoded envelope.
     * @param urgency The message's rank.
     * @return What is to be sent.
     */
    static Outgoing tell(String target, byte[] envelope, MessagePriority urgency) {
        return new Outgoing(
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
    static Outgoing ask(String target, byte[] envelope, long correlation) {
        return new Outgoing(
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
    static Outgoing answer(PeerConnection connection, byte[] envelope) {
        String target = connection.peer().map(InstanceIdentity::name).orElse("");
        return new Outgoing(
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
    boolean isQuestion() {
        return correlation != 0;
    }

    /**
     * Returns {@code true} if nobody waits for the answer any more.
     *
     * @return {@code true} if the question was given up.
     */
    boolean isGivenUp() {
        return answer.isDone();
    }

    /**
     * Fails the question, of which no byte was sent.
     *
     * @param reason Why it was not sent.
     */
    void failUnsent(String reason) {
        answer.completeExceptionally(
                RequestFailureException.notRun(FailureCode.UNAVAILABLE, text(reason)));
    }

    /**
     * Fails the question, which was sent.
     *
     * @param reason Why there is no answer.
     */
    void failSent(String reason) {
        answer.completeExceptionally(
                RequestFailureException.mayHaveRun(FailureCode.UNAVAILABLE, text(reason)));
    }

    /**
     * Returns an error's text.
     *
     * @param reason What went wrong.
     * @return The text.
     */
    private String text(String reason) {
        return "Cannot ask entry instance %s, %s".formatted(target, reason);
    }
}
