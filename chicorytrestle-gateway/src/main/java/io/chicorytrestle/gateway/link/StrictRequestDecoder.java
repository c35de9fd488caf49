package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes requests and marks those whose framing another HTTP implementation could interpret
 * differently, which would allow request smuggling.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

    /**
     * The internal header that marks a request with ambiguous framing. A caller that sends it only
     * has its request rejected.
     */
    private static final String AMBIGUOUS_FRAMING_HEADER = "ambiguous-framing";

    /** The largest chunk in which a body is delivered, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /** A blank line, which the decoder skips. */
    private static final byte[] LINE_END = {'\r', '\n'};

    /** Whether the head of the current request was delivered. */
    private boolean isInBody;

    /** The memory in bytes of the header lines that were decoded and not delivered. */
    private int undeliveredCostBytes;

    /** Detects headers of the current request that use obsolete line folding. */
    private final FoldedLineDetector foldedLines = new FoldedLineDetector();

    /**
     * Creates a new decoder.
     *
     * @param headerBytes The maximum size in bytes, applied to the request line and to the header
     *     section separately.
     */
    public StrictRequestDecoder(int headerBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(headerBytes)
                        .setMaxHeaderSize(headerBytes)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                        .setStrictLineParsing(true));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (!isInBody) {
            foldedLines.inspect(buffer);
        }
        int sizeBefore = out.size();
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        undeliveredCostBytes =
                out.size() > sizeBefore ? 0 : undeliveredCostBytes + costBytes(buffer, start);
        for (Object decoded : List.copyOf(out.subList(sizeBefore, out.size()))) {
            if (decoded instanceof HttpMessage message) {
                isInBody = true;
                if (foldedLines.isDetected()) {
                    message.headers().set(AMBIGUOUS_FRAMING_HEADER, "");
                }
            }
            if (decoded instanceof LastHttpContent) {
                isInBody = false;
                foldedLines.reset();
            }
        }
    }

    /**
     * Returns the memory of the header lines that were decoded and whose message is not complete.
     *
     * @return The number of bytes, roughly.
     */
    public int undeliveredCostBytes() {
        return undeliveredCostBytes;
    }

    /**
     * Releases what was decoded of a message that is not complete. The selector refers to a closed
     * connection until the end of a turn of the event loop.
     *
     * @throws IllegalStateException If the decoder refuses a blank line.
     */
    public void discard() {
        reset();
        try {
            super.decode(null, Unpooled.wrappedBuffer(LINE_END), new ArrayList<>());
        } catch (Exception exception) {
            throw new IllegalStateException("Decoder refused a blank line", exception);
        }
        undeliveredCostBytes = 0;
    }

    /**
     * Returns the memory of lines that were just decoded.
     *
     * @param buffer The buffer, whose reader index is behind the lines.
     * @param start The index of the first line.
     * @return The number of bytes, roughly.
     */
    private static int costBytes(ByteBuf buffer, int start) {
        int lines = 0;
        for (int index = start; index < buffer.readerIndex(); index++) {
            if (buffer.getByte(index) == '\n') {
                lines++;
            }
        }
        return HeaderCost.of(lines, buffer.readerIndex() - start);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        message.headers().set(AMBIGUOUS_FRAMING_HEADER, "");
    }

    /**
     * Maps a failure to a response status.
     *
     * @param cause The decoder's exception.
     * @return 431 for an oversized request line or header section, otherwise 400.
     */
    public static HttpResponseStatus failureStatus(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Returns whether the length of a message is defined unambiguously.
     *
     * @param message The head of the message.
     * @return {@code true} if no header is folded, at most one kind of length is given, and a
     *     transfer encoding is exactly {@code chunked}.
     */
    public static boolean hasUnambiguousFraming(HttpMessage message) {
        return hasKnownEncoding(message) && !message.headers().contains(AMBIGUOUS_FRAMING_HEADER);
    }

    /**
     * Returns whether a message has no transfer encoding but {@code chunked}.
     *
     * @param message The head of the message.
     * @return {@code true} if there is none, or exactly {@code chunked}.
     */
    static boolean hasKnownEncoding(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || (encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                encodings.get(0).trim()));
    }
}
