package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;

/**
 * Detects the head of another response in a body that ends with its connection. No length tells
 * such a body from a response that follows it.
 */
public final class ResponseHeadDetector {

    /** The largest head that is detected, in bytes. */
    private static final int MAXIMUM_HEAD_BYTES = 4_096;

    /** The number of latest bytes in which a status line can have begun. */
    private static final int MAXIMUM_STATUS_LINE_BYTES = 16;

    /** Ends a head. */
    private static final String BLANK_LINE = "\r\n\r\n";

    /** Tells which headers the head of a response has. */
    private final ResponseSyntax syntax;

    /** The latest bytes, from the begin of a status line if there is one. */
    private final StringBuilder recent = new StringBuilder();

    /**
     * Creates a detector for one body.
     *
     * @param syntax Tells which headers the head of a response has.
     */
    public ResponseHeadDetector(ResponseSyntax syntax) {
        this.syntax = syntax;
    }

    /**
     * Inspects the next part of the body.
     *
     * @param content The part; the reader index is not changed.
     * @return {@code true} if the body contains the head of another response.
     */
    public boolean inspect(ByteBuf content) {
        recent.append(content.toString(StandardCharsets.ISO_8859_1));
        while (true) {
            Matcher statusLine = ResponseSyntax.statusLineIn(recent);
            if (!statusLine.find()) {
                keepLast(MAXIMUM_STATUS_LINE_BYTES);
                return false;
            }
            int headStart = statusLine.start();
            int headEnd = recent.indexOf(BLANK_LINE, headStart);
            String head = recent.substring(headStart, headEnd < 0 ? recent.length() : headEnd);
            if (syntax.isHead(head)) {
                return true;
            }
            if (headEnd < 0 && head.length() <= MAXIMUM_HEAD_BYTES) {
                recent.delete(0, headStart);
                return false;
            }
            recent.delete(0, statusLine.end());
        }
    }

    /**
     * Drops all but the latest bytes.
     *
     * @param size The number of bytes to keep.
     */
    private void keepLast(int size) {
        recent.delete(0, Math.max(0, recent.length() - size));
    }
}
