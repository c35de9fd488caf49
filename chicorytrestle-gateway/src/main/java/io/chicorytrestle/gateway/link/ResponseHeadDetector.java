package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import java.util.Collection;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Detects in a body the head of another response to the request under way, which shows that the
 * body was cut or has no length. Each byte is inspected once.
 */
public final class ResponseHeadDetector {

    /** A status line up to its status code, where {@code #} stands for a digit. */
    private static final String STATUS_LINE = "HTTP/#.# ###";

    /** The largest head that is detected, in bytes. */
    private static final int MAXIMUM_HEAD_BYTES = 4_096;

    /** The longest line that is compared, in bytes. */
    private static final int MAXIMUM_LINE_BYTES = 256;

    /** The lines, in lower case, that name the request under way. */
    private final Set<String> namingLines;

    /** The begin of the current line after a status line, in lower case. */
    private final StringBuilder line = new StringBuilder();

    /** The number of characters of a status line that the latest bytes match. */
    private int matchedLength;

    /** Whether the body contains a status line. */
    private boolean hasStatusLine;

    /** The number of bytes since a status line, or -1 outside a head. */
    private int headBytes = -1;

    /**
     * Creates a detector for one body.
     *
     * @param namingHeaders The headers of which one names the request that a response answers.
     * @param requestId The identifier of the request under way.
     */
    public ResponseHeadDetector(Collection<String> namingHeaders, String requestId) {
        namingLines =
                namingHeaders.stream()
                        .map(name -> (name + ':' + requestId).toLowerCase(Locale.ROOT))
                        .collect(Collectors.toSet());
    }

    /**
     * Inspects the next part of the body.
     *
     * @param content The part; the reader index is not changed.
     * @return {@code true} if the body contains the head of another response to the request.
     */
    public boolean inspect(ByteBuf content) {
        boolean isDetected = false;
        for (int index = content.readerIndex(); index < content.writerIndex(); index++) {
            isDetected |= inspect((char) content.getUnsignedByte(index));
        }
        return isDetected;
    }

    /**
     * Returns whether the body, as far as it was inspected, contains a status line or ends with the
     * first bytes of one. If bytes follow such a body, they can be the rest of a response with
     * which the body was filled up.
     *
     * @return {@code true} if another response may have begun.
     */
    public boolean mayContainResponse() {
        return hasStatusLine || matchedLength > 0;
    }

    /**
     * Inspects the next byte.
     *
     * @param next The byte.
     * @return {@code true} if it ends a line that names the request.
     */
    private boolean inspect(char next) {
        matchedLength = isNextOfStatusLine(next) ? matchedLength + 1 : next == 'H' ? 1 : 0;
        if (matchedLength == STATUS_LINE.length()) {
            matchedLength = 0;
            hasStatusLine = true;
            headBytes = 0;
            line.setLength(0);
            line.append(STATUS_LINE);
            return false;
        }
        if (headBytes < 0) {
            return false;
        }
        headBytes++;
        if (next != '\n') {
            if (next > ' ' && line.length() < MAXIMUM_LINE_BYTES) {
                line.append(Character.toLowerCase(next));
            }
            return false;
        }
        boolean isNaming = namingLines.contains(line.toString());
        boolean isHeadEnd = line.length() == 0 || headBytes > MAXIMUM_HEAD_BYTES;
        line.setLength(0);
        if (isHeadEnd) {
            headBytes = -1;
        }
        return isNaming;
    }

    /**
     * Returns whether a byte continues the status line that the latest bytes match.
     *
     * @param next The byte.
     * @return {@code true} if it is the character that follows.
     */
    private boolean isNextOfStatusLine(char next) {
        char expected = STATUS_LINE.charAt(matchedLength);
        return expected == '#' ? next >= '0' && next <= '9' : next == expected;
    }
}
