package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;

/**
 * Detects header lines that are folded onto the previous one, which HTTP/1.1 has made obsolete and
 * which implementations read differently.
 */
final class FoldedLineDetector {

    /** Whether the start line of the current message was read. */
    private boolean isStartLineRead;

    /** Whether a header of the current message is folded. */
    private boolean isDetected;

    /** Prepares for the next message. */
    void reset() {
        isStartLineRead = false;
        isDetected = false;
    }

    /**
     * Returns whether a header of the current message is folded.
     *
     * @return {@code true} if a line begins with white space.
     */
    boolean isDetected() {
        return isDetected;
    }

    /**
     * Inspects the undecoded part of the head.
     *
     * @param buffer The undecoded bytes; the reader index is not changed.
     */
    void inspect(ByteBuf buffer) {
        boolean isLineStart = isStartLineRead;
        boolean isBlank = true;
        for (int index = buffer.readerIndex(); index < buffer.writerIndex(); index++) {
            byte next = buffer.getByte(index);
            if (isLineStart && (next == ' ' || next == '\t')) {
                isDetected = true;
                return;
            }
            if (next == '\n') {
                if (isBlank && isStartLineRead) {
                    return;
                }
                isStartLineRead |= !isBlank;
                isLineStart = isStartLineRead;
                isBlank = true;
            } else {
                isLineStart = false;
                isBlank &= next == '\r';
            }
        }
    }
}
