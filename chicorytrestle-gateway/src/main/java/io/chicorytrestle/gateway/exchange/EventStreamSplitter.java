package io.chicorytrestle.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
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

    /** The bytes of an event that is not complete yet. */
    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

    /** Whether no event was complete yet. */
    private boolean isBeforeFirstEvent = true;

    /** Whether the next event must follow the last one of an earlier run. */
    private boolean isResuming;

    /** Whether a run that should have resumed the stream repeats an event. */
    private boolean isRepeating;

    /** The identifier of the last complete event that carried one. */
    private Optional<String> lastEventId = Optional.empty();

    /**
     * Adds bytes of the stream.
     *
     * @param content The bytes, which are consumed.
     * @return The buffered bytes up to the end of the last complete event, possibly none; none if
     *     they repeat an event instead of resuming the stream.
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
        isBeforeFirstEvent = false;
        partialEvent.reset();
        partialEvent.write(buffered, end, buffered.length - end);
        byte[] completeEvents = new byte[end];
        System.arraycopy(buffered, 0, completeEvents, 0, end);
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

    /** Discards a partial event; the next events come from a run that resumes the stream. */
    void resume() {
        partialEvent.reset();
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
}
