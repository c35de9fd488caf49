package io.chicorytrestle.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events and keeps the identifier of the last
 * one.
 */
final class EventStreamSplitter {

    /** The field that holds the identifier of an event. */
    private static final String ID_FIELD = "id:";

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

    /** Whether no event was complete yet. */
    private boolean isBeforeFirstEvent = true;

    /** Whether the next event must follow the last one of an earlier run. */
    private boolean isResuming;

    /** Whether a run that should have resumed the stream repeats an event. */
    private boolean isRepeating;

    /** The identifier of the last complete event that carried one. */
    private Optional<String> lastEventId = Optional.empty();

    /**
     * Adds bytes of the stream. Only these bytes are searched for the end of an event.
     *
     * @param content The bytes, which are consumed.
     * @return The buffered bytes up to the end of the last complete event, possibly none; none if
     *     they repeat an event instead of resuming the stream.
     */
    byte[] append(ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        int end = endOfLastEvent(bytes);
        if (end == 0) {
            keep(bytes, 0);
            return new byte[0];
        }
        isBeforeFirstEvent = false;
        byte[] completeEvents = partialEvent.toByteArrayWith(bytes, end);
        partialEvent.clear();
        keep(bytes, end);
        if (isResuming) {
            isResuming = false;
            isRepeating = isRepeated(completeEvents);
            if (isRepeating) {
                return new byte[0];
            }
        }
        updateLastEventId(completeEvents);
        return completeEvents;
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
        partialEvent.clear();
        ending = Ending.INSIDE_LINE;
        isEventTooLarge = false;
        isResuming = true;
        isRepeating = false;
    }

    /**
     * Returns {@code true} if a run that should have resumed the stream repeats an event.
     *
     * @return {@code true} if the bytes of this run do not continue the stream.
     */
    boolean isRepeating() {
        return isRepeating;
    }

    /**
     * Returns {@code true} if the first identifier of events does not follow the last one.
     *
     * @param events The complete events.
     * @return {@code true} if both are numbers and the first is not larger.
     */
    private boolean isRepeated(byte[] events) {
        OptionalLong first =
                new String(events, StandardCharsets.ISO_8859_1)
                        .lines()
                        .filter(line -> line.startsWith(ID_FIELD))
                        .map(line -> parseId(line.substring(ID_FIELD.length())))
                        .findFirst()
                        .orElse(OptionalLong.empty());
        OptionalLong last =
                lastEventId.map(EventStreamSplitter::parseId).orElseGet(OptionalLong::empty);
        return first.isPresent() && last.isPresent() && first.getAsLong() <= last.getAsLong();
    }

    /**
     * Parses an identifier.
     *
     * @param id The identifier.
     * @return The number, or empty if the identifier is none.
     */
    private static OptionalLong parseId(String id) {
        try {
            return OptionalLong.of(Long.parseLong(id.strip()));
        } catch (NumberFormatException exception) {
            return OptionalLong.empty();
        }
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
     * Returns {@code true} if no event was complete yet.
     *
     * @return {@code true} if {@link #append} has returned no bytes so far.
     */
    boolean isBeforeFirstEvent() {
        return isBeforeFirstEvent;
    }

    /**
     * Returns the identifier of the last complete event that carried one.
     *
     * @return The identifier, or empty if no event carried one.
     */
    Optional<String> lastEventId() {
        return lastEventId;
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

    /**
     * Updates the identifier of the last event, if any of the events carries one.
     *
     * @param events The complete events.
     */
    private void updateLastEventId(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int start = text.startsWith(ID_FIELD) ? 0 : -1;
        int lastFieldOffset = text.lastIndexOf('\n' + ID_FIELD);
        if (lastFieldOffset >= 0) {
            start = lastFieldOffset + 1;
        }
        if (start >= 0) {
            int end = text.indexOf('\n', start);
            lastEventId = Optional.of(text.substring(start + ID_FIELD.length(), end).strip());
        }
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
