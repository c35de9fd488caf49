package io.chicorytrestle.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Splits a stream into whole events and remembers the identifier of the last one. */
final class EventStreamSplitter {

    /** The field that names an event. */
    private static final String ID_FIELD = "id:";

    /** The bytes of an event that is not whole yet. */
    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

    /** The identifier of the last whole event. */
    private Optional<String> lastEventId = Optional.empty();

    /**
     * Takes bytes of the stream.
     *
     * @param content The bytes.
     * @return The bytes up to the end of the last whole event, perhaps none.
     */
    byte[] append(ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        partialEvent.writeBytes(bytes);
        byte[] all = partialEvent.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        partialEvent.reset();
        partialEvent.write(all, end, all.length - end);
        byte[] whole = new byte[end];
        System.arraycopy(all, 0, whole, 0, end);
        updateLastEventId(whole);
        return whole;
    }

    /**
     * Returns the bytes that follow the last whole event.
     *
     * @return The bytes.
     */
    byte[] takePartialEvent() {
        byte[] rest = partialEvent.toByteArray();
        partialEvent.reset();
        return rest;
    }

    /** Forgets the bytes that follow the last whole event. */
    void dropPartialEvent() {
        partialEvent.reset();
    }

    /**
     * Returns the identifier of the last whole event.
     *
     * @return The identifier, or empty if no event carried one.
     */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Finds the end of the last whole event.
     *
     * @param bytes The bytes.
     * @return The position after the blank line that ends the event, or zero if there is none.
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
     * Remembers the last identifier.
     *
     * @param events The whole events.
     */
    private void updateLastEventId(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int start = text.startsWith(ID_FIELD) ? 0 : -1;
        int later = text.lastIndexOf('\n' + ID_FIELD);
        if (later >= 0) {
            start = later + 1;
        }
        if (start >= 0) {
            int end = text.indexOf('\n', start);
            lastEventId = Optional.of(text.substring(start + ID_FIELD.length(), end).strip());
        }
    }
}
