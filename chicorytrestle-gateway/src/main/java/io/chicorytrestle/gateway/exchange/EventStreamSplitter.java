package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.gateway.link.BodyFraming;
import io.chicorytrestle.gateway.link.SegmentedBuffer;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and keeps the identifier of the last
 * one.
 */
final class EventStreamSplitter {

    /** The begin of a line that is no part of an event. */
    private static final String COMMENT_PREFIX = ":";

    /**
     * The largest event in bytes. Events hold a few tokens, hundreds of bytes; 32 events of this
     * size take a tenth of the heap of an instance.
     */
    static final int MAXIMUM_EVENT_BYTES = 131_072;

    /** The bytes of an event that is not complete yet, at most {@link #MAXIMUM_EVENT_BYTES}. */
    private final SegmentedBuffer partialEvent = new SegmentedBuffer();

    /** What the bytes of the partial event end with. */
    private Ending ending = Ending.INSIDE_LINE;

    /** Whether an event is too large to be kept. */
    private boolean isEventTooLarge;

    /** Follows the complete events. */
    private final EventSequence sequence = new EventSequence();

    /**
     * Adds bytes of the stream. Only these bytes are searched for the end of an event.
     *
     * @param content The bytes, which are consumed.
     * @return The buffered bytes up to the end of the last complete event, possibly none; none if
     *     they do not continue the stream.
     */
    byte[] append(ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        int end = endOfLastEvent(bytes);
        if (end == 0) {
            keep(bytes, 0);
            return new byte[0];
        }
        byte[] completeEvents = partialEvent.toByteArrayWith(bytes, end);
        partialEvent.clear();
        keep(bytes, end);
        boolean isContinued =
                sequence.append(new String(completeEvents, StandardCharsets.ISO_8859_1));
        return isContinued ? completeEvents : new byte[0];
    }

    /**
     * Keeps the bytes after the last complete event, unless the event is too large.
     *
     * @param bytes The bytes that were added.
     * @param start The offset after the last complete event.
     */
    private void keep(byte[] bytes, int start) {
        if (!isEventTooLarge) {
            partialEvent.append(bytes, start, bytes.length);
        }
    }

    /**
     * Returns {@code true} if an event is larger than {@link #MAXIMUM_EVENT_BYTES}. The events
     * before it were returned, and nothing after them can be.
     *
     * @return {@code true} if the rest of this run can not be forwarded.
     */
    boolean isEventTooLarge() {
        return isEventTooLarge;
    }

    /** Discards a partial event; the next events come from a run that resumes the stream. */
    void resume() {
        sequence.resume(isInsideEvent());
        partialEvent.clear();
        ending = Ending.INSIDE_LINE;
        isEventTooLarge = false;
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
     * Returns {@code true} if there was a complete event in any run.
     *
     * @return {@code false} if there were at most blank lines, comments and a partial event.
     */
    boolean hasEvents() {
        return sequence.hasEvents();
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
        return new String(partialEvent(), StandardCharsets.ISO_8859_1)
                .lines()
                .anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT_PREFIX));
    }

    /**
     * Returns and clears the bytes that follow the last complete event.
     *
     * @return The bytes, possibly none.
     */
    byte[] takeRemainder() {
        byte[] remainder = partialEvent();
        partialEvent.clear();
        return remainder;
    }

    /**
     * Returns the bytes that follow the last complete event.
     *
     * @return The bytes, possibly none.
     */
    private byte[] partialEvent() {
        return partialEvent.toByteArrayWith(new byte[0], 0);
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
     * Finds the end of the last complete event, up to the first event that is too large.
     *
     * @param bytes The bytes that follow the partial event.
     * @return The offset after the blank line that ends the event, or zero if there is none.
     */
    private int endOfLastEvent(byte[] bytes) {
        int lastEnd = 0;
        int start = -partialEvent.size();
        for (int index = 0; index < bytes.length && !isEventTooLarge; index++) {
            isEventTooLarge = index - start >= MAXIMUM_EVENT_BYTES;
            boolean isEnd = !isEventTooLarge && bytes[index] == '\n' && ending.isLineStart();
            ending = isEnd ? Ending.INSIDE_LINE : ending.next(bytes[index]);
            if (isEnd) {
                lastEnd = index + 1;
                start = lastEnd;
            }
        }
        return lastEnd;
    }

    /** Enumerates what the bytes of a partial event end with. */
    private enum Ending {

        /** A part of a line, or nothing. */
        INSIDE_LINE,

        /** A line feed. */
        LINE_FEED,

        /** A line feed and a carriage return. */
        LINE_FEED_AND_CARRIAGE_RETURN;

        /**
         * Returns {@code true} if a line feed that follows ends a blank line.
         *
         * @return {@code true} unless a line has begun.
         */
        private boolean isLineStart() {
            return this != INSIDE_LINE;
        }

        /**
         * Returns what the bytes end with after one more.
         *
         * @param next The next byte.
         * @return The new ending.
         */
        private Ending next(byte next) {
            if (next == '\n') {
                return LINE_FEED;
            }
            return next == '\r' && this == LINE_FEED ? LINE_FEED_AND_CARRIAGE_RETURN : INSIDE_LINE;
        }
    }
}
