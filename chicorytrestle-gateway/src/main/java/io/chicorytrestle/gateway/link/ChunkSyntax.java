package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;

/**
 * Decides whether the framing of a body in chunks is well-formed, which the decoder of the library
 * reads leniently: it ends the size of a chunk at any control character and skips whatever precedes
 * the line feed after the data, so that a part of another response can pass for framing. Each byte
 * is inspected once.
 */
final class ChunkSyntax {

    /** The largest line that holds the size of a chunk and its extensions, in characters. */
    private static final int MAXIMUM_LINE_LENGTH = 1_024;

    /** The largest number of hexadecimal digits of a size. */
    private static final int MAXIMUM_SIZE_DIGITS = 8;

    /** The base of the digits of a size. */
    private static final int HEXADECIMAL = 16;

    /** The part of the framing that the next byte belongs to. */
    private State state = State.SIZE_LINE;

    /** The current line with the size of a chunk. */
    private final StringBuilder line = new StringBuilder();

    /** The number of bytes of the current chunk that were not inspected. */
    private long remainingBytes;

    /** Whether the current line of the trailers is empty so far. */
    private boolean isLineEmpty;

    /** Prepares for the next body. */
    void reset() {
        state = State.SIZE_LINE;
        line.setLength(0);
        remainingBytes = 0;
        isLineEmpty = true;
    }

    /**
     * Inspects bytes up to the end of the body.
     *
     * @param buffer Holds the bytes; its indexes are not changed.
     * @param start The index of the first byte that was not inspected.
     * @return The index of the first byte that is not well-formed, or the writer index.
     */
    int inspect(ByteBuf buffer, int start) {
        int index = start;
        while (index < buffer.writerIndex() && state != State.END) {
            if (state == State.DATA) {
                long length = Math.min(remainingBytes, buffer.writerIndex() - index);
                remainingBytes -= length;
                index += (int) length;
                if (remainingBytes == 0) {
                    state = State.DATA_CARRIAGE_RETURN;
                }
            } else if (accept((char) buffer.getUnsignedByte(index))) {
                index++;
            } else {
                return index;
            }
        }
        return buffer.writerIndex();
    }

    /**
     * Accepts the next byte of the framing.
     *
     * @param next The byte.
     * @return {@code false} if the byte is not allowed there.
     */
    private boolean accept(char next) {
        return switch (state) {
            case SIZE_LINE -> acceptSizeLine(next);
            case SIZE_LINE_FEED -> next == '\n' && endSizeLine();
            case DATA_CARRIAGE_RETURN -> proceed(next == '\r', State.DATA_LINE_FEED);
            case DATA_LINE_FEED -> proceed(next == '\n', State.SIZE_LINE);
            case TRAILERS -> acceptTrailer(next);
            case TRAILER_LINE_FEED -> acceptTrailerEnd(next);
            case DATA, END -> true;
        };
    }

    /**
     * Proceeds to another part of the framing.
     *
     * @param isAllowed Whether the byte before it is allowed.
     * @param following The part.
     * @return Whether the byte before it is allowed.
     */
    private boolean proceed(boolean isAllowed, State following) {
        state = following;
        return isAllowed;
    }

    /**
     * Accepts the next byte of a line with the size of a chunk.
     *
     * @param next The byte.
     * @return {@code false} if it is a control character or the line is too long.
     */
    private boolean acceptSizeLine(char next) {
        if (next == '\r') {
            return proceed(true, State.SIZE_LINE_FEED);
        }
        line.append(next);
        return line.length() <= MAXIMUM_LINE_LENGTH && (next >= ' ' || next == '\t');
    }

    /**
     * Reads the size of a chunk from its line.
     *
     * @return {@code false} if the line is not a size with or without extensions, or if it contains
     *     a status line.
     */
    private boolean endSizeLine() {
        String text = line.toString();
        line.setLength(0);
        int extension = text.indexOf(';');
        String size = extension < 0 ? text : text.substring(0, extension).stripTrailing();
        if (size.isEmpty()
                || size.length() > MAXIMUM_SIZE_DIGITS
                || !size.chars().allMatch(digit -> Character.digit(digit, HEXADECIMAL) >= 0)
                || ResponseSyntax.containsStatusLine(text)) {
            return false;
        }
        remainingBytes = Long.parseLong(size, HEXADECIMAL);
        isLineEmpty = true;
        return proceed(true, remainingBytes == 0 ? State.TRAILERS : State.DATA);
    }

    /**
     * Accepts the next byte of the trailers.
     *
     * @param next The byte.
     * @return {@code false} if it is a line feed without a carriage return.
     */
    private boolean acceptTrailer(char next) {
        if (next == '\r') {
            return proceed(true, State.TRAILER_LINE_FEED);
        }
        isLineEmpty = false;
        return next != '\n';
    }

    /**
     * Accepts the byte after a carriage return in the trailers, which end with an empty line.
     *
     * @param next The byte.
     * @return {@code false} if it is no line feed.
     */
    private boolean acceptTrailerEnd(char next) {
        State following = isLineEmpty ? State.END : State.TRAILERS;
        isLineEmpty = true;
        return proceed(next == '\n', following);
    }

    /** Enumerates the parts of a body in chunks. */
    private enum State {

        /** The size of a chunk with its extensions. */
        SIZE_LINE,

        /** The line feed after a size. */
        SIZE_LINE_FEED,

        /** The data of a chunk. */
        DATA,

        /** The carriage return after the data. */
        DATA_CARRIAGE_RETURN,

        /** The line feed after the data. */
        DATA_LINE_FEED,

        /** The lines after the last chunk. */
        TRAILERS,

        /** The line feed of a line after the last chunk. */
        TRAILER_LINE_FEED,

        /** Nothing; the body is complete. */
        END
    }
}
