package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests and marks those that another reader could understand in another way. */
public final class StrictRequestDecoder extends HttpRequestDecoder {

    /** The header that marks an ambiguous request; a caller's own only gets it refused. */
    private static final String AMBIGUOUS_FRAMING_HEADER = "ambiguous-framing";

    /** The largest piece in which a body is delivered, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /** Whether the head of the request under way was delivered. */
    private boolean isInBody;

    /** Whether the first line of the request under way was read. */
    private boolean isRequestLineRead;

    /** Whether a header of the request under way is continued on the next line. */
    private boolean hasFoldedHeader;

    /**
     * Creates a new decoder.
     *
     * @param headerBytes The most bytes of a request line and of all headers.
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
            hasFoldedHeader |= hasFoldedLine(buffer);
        }
        int before = out.size();
        super.decode(context, buffer, out);
        for (Object decoded : List.copyOf(out.subList(before, out.size()))) {
            if (decoded instanceof HttpMessage message) {
                isInBody = true;
                if (hasFoldedHeader) {
                    message.headers().set(AMBIGUOUS_FRAMING_HEADER, "");
                }
            }
            if (decoded instanceof LastHttpContent) {
                isInBody = false;
                isRequestLineRead = false;
                hasFoldedHeader = false;
            }
        }
    }

    /**
     * Returns {@code true} if a header line in the rest of the head begins with white space.
     *
     * @param buffer The bytes that are not decoded yet.
     * @return {@code true} if a header is continued on another line.
     */
    private boolean hasFoldedLine(ByteBuf buffer) {
        int start = buffer.readerIndex();
        boolean isLineStart = isRequestLineRead;
        boolean isBlank = true;
        for (int index = start; index < buffer.writerIndex(); index++) {
            byte next = buffer.getByte(index);
            if (isLineStart && (next == ' ' || next == '\t')) {
                return true;
            }
            if (next == '\n') {
                if (isBlank && isRequestLineRead) {
                    return false;
                }
                isRequestLineRead |= !isBlank;
                isLineStart = isRequestLineRead;
                isBlank = true;
            } else {
                isLineStart = false;
                isBlank &= next == '\r';
            }
        }
        return false;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        message.headers().set(AMBIGUOUS_FRAMING_HEADER, "");
    }

    /**
     * Returns {@code true} if a message can be understood in one way only.
     *
     * @param message The head of the message.
     * @return {@code true} if at most one kind of length is given, and it is understood.
     */
    public static boolean hasUnambiguousFraming(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean understood =
                encodings.isEmpty()
                        || (encodings.size() == 1
                                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                        encodings.get(0).trim()));
        return understood && !message.headers().contains(AMBIGUOUS_FRAMING_HEADER);
    }
}
