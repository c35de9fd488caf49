package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.gateway.link.BodyFraming;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and keeps the identifier of the last
 * one.
 */
final class EventStreamSplitter {

    /** The begin of a line that is no part of an event. */
    private static final String COMMENT_PREFIX = ":";

    /** The bytes of an event that is not complete yet. */
    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

    /** Follows the complete events. */
    private final EventSequence sequence = new EventSequence();

    /**
     * Adds bytes of the stream.
     *
     * @param content The bytes, which are consumed.
     * @return The buffered bytes up to the end of the last complete event, possibly none; none if
     *     they do not continue the stream.
     */
    byte[] append(ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        partialEvent.writeBytes(bytes);
        byte[] buffered = partialEvent.toByteArray();
        int end = endOfLastEvent(buffered);
        if (end == 0) {
            return new byte[0];
        }
        partialEvent.reset();
        partialEvent.write(buffered, end, buffered.length - end);
        byte[] completeEvents = new byte[end];
        System.arraycopy(buffered, 0, completeEvents, 0, end);
        boolean isContinued =
                sequence.append(new String(completeEvents, StandardCharsets.ISO_8859_1));
        return isContinued ? completeEvents : new byte[0];
    }

    /** Discards a partial event; the next events come from a run that resumes the stream. */
    void resume() {
        sequence.resume(isInsideEvent());
        partialEvent.reset();
    }

    /**
     * Declares that the first run already must continue a stream.
     *
     * @param id The identifier of the last event that the caller received.
     */
    void resumeAfter(String id) {
        sequence.resumeAfter(id);
    }

    /**
     * Returns why the current run does not continue the stream.
     *
     * @return The reason, or empty if the run may continue it.
     */
    Optional<EventSequence.Discontinuity> discontinuity() {
        return sequence.discontinuity();
    }

    /**
     * Returns {@code true} if another run can continue the stream after its last event.
     *
     * @return {@code true} if there was no event or the last one carried an identifier.
     */
    boolean canResume() {
        return sequence.canResume();
    }

    /**
     * Returns the number of bytes that follow the last complete event.
     *
     * @return The number of bytes.
     */
    int partialEventBytes() {
        return partialEvent.size();
    }

    /**
     * Returns {@code true} if an event has begun and is not complete. Blank lines and comments are
     * no part of an event.
     *
     * @return {@code true} if a field follows the last complete event.
     */
    boolean isInsideEvent() {
        return partialEvent
                .toString(StandardCharsets.ISO_8859_1)
                .lines()
                .anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT_PREFIX));
    }

    /**
     * Returns and clears the bytes that follow the last complete event.
     *
     * @return The bytes, possibly none.
     */
    byte[] takeRemainder() {
        byte[] remainder = partialEvent.toByteArray();
        partialEvent.reset();
        return remainder;
    }

    /**
     * Returns {@code true} if the stream cannot be complete where its current run ends now.
     *
     * @param framing How the run declares the end of its body.
     * @return {@code true} if the run ends inside an event or leaves events out.
     */
    boolean isEndMissing(BodyFraming framing) {
        return isInsideEvent() || sequence.isEndMissing(framing);
    }

    /**
     * Returns the identifier of the last complete event that carried one.
     *
     * @return The identifier, or empty if no event carried one.
     */
    Optional<String> lastEventId() {
        return sequence.lastId();
    }

    /**
     * Finds the end of the last complete event.
     *
     * @param bytes The buffered bytes.
     * @return The offset after the blank line that ends the event, or zero if there is none.
     */
    private static int endOfLastEvent(byte[] bytes) {
        for (int end = bytes.length; end > 1; end--) {
            if (bytes[end - 1] != '\n') {
                continue;
            }
            boolean isBlankLine =
                    bytes[end - 2] == '\n'
                            || (end > 2 && bytes[end - 2] == '\r' && bytes[end - 1 - 2] == '\n');
            if (isBlankLine) {
                return end;
            }
        }
        return 0;
    }
}
