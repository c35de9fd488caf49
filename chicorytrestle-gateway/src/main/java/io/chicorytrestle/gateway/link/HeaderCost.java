package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Iterator;
import java.util.Map;

/** Estimates the memory of decoded messages, in which each header line becomes several objects. */
public final class HeaderCost {

    /** The memory in bytes of a message without header lines. */
    private static final int MESSAGE_BYTES = 256;

    /** The memory in bytes of a header line: an entry and its copy, a name and a value. */
    private static final int LINE_BYTES = 192;

    /** The copies of each character: as decoded, as a text, and as sent to an endpoint. */
    private static final int CHARACTER_COPIES = 3;

    /** Prevents instantiation. */
    private HeaderCost() {}

    /**
     * Returns the memory of header lines of which only the size is known.
     *
     * @param lines The number of lines.
     * @param bytes The number of bytes.
     * @return The number of bytes in memory, roughly.
     */
    static int of(int lines, int bytes) {
        return lines * LINE_BYTES + bytes * CHARACTER_COPIES;
    }

    /**
     * Returns the memory of a message or a part of one.
     *
     * @param message The message.
     * @return The number of bytes in memory, roughly.
     */
    public static int of(HttpObject message) {
        int bytes = MESSAGE_BYTES;
        if (message instanceof HttpRequest request) {
            bytes += of(0, request.uri().length()) + of(request.headers());
        }
        if (message instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        if (message instanceof LastHttpContent last) {
            bytes += of(last.trailingHeaders());
        }
        return bytes;
    }

    /**
     * Returns the memory of headers.
     *
     * @param headers The headers.
     * @return The number of bytes in memory, roughly.
     */
    private static int of(HttpHeaders headers) {
        int characters = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> lines = headers.iteratorCharSequence();
        while (lines.hasNext()) {
            Map.Entry<CharSequence, CharSequence> line = lines.next();
            characters += line.getKey().length() + line.getValue().length();
        }
        return of(headers.size(), characters);
    }
}
