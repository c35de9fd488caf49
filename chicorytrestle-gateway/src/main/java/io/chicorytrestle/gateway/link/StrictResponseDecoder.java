package io.chicorytrestle.gateway.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Optional;

/**
 * Decodes responses and refuses those that may be composed of parts of several, such as one that
 * stops inside its head and is followed by a whole one. A refused response has a failed {@linkplain
 * HttpObject#decoderResult() decoder result}. No body is expected in the response to a HEAD
 * request, whatever length its headers declare.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {

    /** The maximum size of the header section in bytes. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** The largest chunk in which a body is delivered, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /** Decides whether heads and trailers are well-formed. */
    private final ResponseSyntax syntax;

    /** Detects headers of the current response that use obsolete line folding. */
    private final FoldedLineDetector foldedLines = new FoldedLineDetector();

    /** Detects framing of a body in chunks that the library reads leniently. */
    private final ChunkSyntax chunkSyntax = new ChunkSyntax();

    /** The number of undecoded bytes of a body in chunks whose framing is well-formed. */
    private int inspectedBytes;

    /** Whether the body of the current response is in chunks. */
    private boolean isChunked;

    /** Whether the framing of the current body is malformed after the inspected bytes. */
    private boolean isMalformed;

    /** Whether the next response answers a HEAD request. */
    private boolean isHeadRequest;

    /** Whether a response was begun and is not complete. */
    private boolean isInResponse;

    /** Whether the head of the current response was delivered. */
    private boolean isInBody;

    /** Whether the head of the current response declares a length and chunks. */
    private boolean hasTwoLengths;

    /**
     * Creates a decoder that expects a response with a body.
     *
     * @param syntax Decides whether heads and trailers are well-formed.
     */
    public StrictResponseDecoder(ResponseSyntax syntax) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                        .setStrictLineParsing(true));
        this.syntax = syntax;
    }

    /**
     * Sets whether the next response answers a HEAD request. Called before each request is sent.
     *
     * @param headOnly Whether the request method is HEAD.
     */
    public void setHeadRequest(boolean headOnly) {
        isHeadRequest = headOnly;
    }

    /**
     * Returns whether all bytes received so far belong to complete responses.
     *
     * @return {@code true} if the next byte begins a response.
     */
    public boolean isBetweenResponses() {
        return !isInResponse;
    }

    /**
     * Determines the framing of the response that is decoded.
     *
     * @param head The head of the response.
     * @return The framing of its body.
     */
    public BodyFraming framing(HttpResponse head) {
        return isContentAlwaysEmpty(head) ? BodyFraming.NONE : BodyFraming.ofBody(head);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        isInResponse |= buffer.isReadable();
        if (!isInBody) {
            foldedLines.inspect(buffer);
        }
        int sizeBefore = out.size();
        if (isChunked) {
            decodeChunks(context, buffer, out);
        } else {
            super.decode(context, buffer, out);
        }
        for (Object decoded : out.subList(sizeBefore, out.size())) {
            if (decoded instanceof HttpResponse head) {
                isInBody = true;
                isChunked = framing(head) == BodyFraming.CHUNKED;
                check(head, findDefect(head));
            }
            if (decoded instanceof LastHttpContent last) {
                check(last, syntax.findDefect(last.trailingHeaders()));
                isInResponse = false;
                isInBody = false;
                isChunked = false;
                isMalformed = false;
                hasTwoLengths = false;
                foldedLines.reset();
                chunkSyntax.reset();
                inspectedBytes = 0;
            }
        }
    }

    /**
     * Decodes the next part of a body in chunks, up to the first byte whose framing is malformed.
     *
     * @param context The context of this handler.
     * @param buffer The undecoded bytes, which are skipped once the body was refused.
     * @param out Receives the decoded parts, and a refused end after the last one.
     * @throws Exception If the library fails to decode the part.
     */
    private void decodeChunks(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        int writerIndex = buffer.writerIndex();
        if (!isMalformed) {
            int end = chunkSyntax.inspect(buffer, buffer.readerIndex() + inspectedBytes);
            inspectedBytes = end - buffer.readerIndex();
            isMalformed = end < writerIndex;
        }
        int readerIndex = buffer.readerIndex();
        int sizeBefore = out.size();
        buffer.writerIndex(readerIndex + inspectedBytes);
        super.decode(context, buffer, out);
        buffer.writerIndex(writerIndex);
        inspectedBytes -= buffer.readerIndex() - readerIndex;
        boolean isExhausted = out.size() == sizeBefore && buffer.readerIndex() == readerIndex;
        if (isMalformed && isExhausted) {
            buffer.skipBytes(buffer.readableBytes());
            inspectedBytes = 0;
            LastHttpContent end = new DefaultLastHttpContent();
            check(end, Optional.of("framing of chunks is malformed"));
            out.add(end);
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        super.decodeLast(context, buffer, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            isInResponse = false;
        }
    }

    /**
     * Marks a part of a response as refused if it has a defect.
     *
     * @param part The part.
     * @param defect What is wrong with it, or empty.
     */
    private static void check(HttpObject part, Optional<String> defect) {
        if (defect.isPresent() && part.decoderResult().isSuccess()) {
            part.setDecoderResult(
                    DecoderResult.failure(new MalformedResponseException(defect.get())));
        }
    }

    /**
     * Finds what is wrong with a head.
     *
     * @param head The head.
     * @return What is wrong, or empty if it is well-formed.
     */
    private Optional<String> findDefect(HttpResponse head) {
        if (foldedLines.isDetected()) {
            return Optional.of("header is folded");
        }
        if (hasTwoLengths) {
            return Optional.of("response declares a length and chunks");
        }
        return syntax.findDefect(head);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[1];
        if (!ResponseSyntax.isStatusCode(status)) {
            throw new IllegalArgumentException("Status is not three digits: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        hasTwoLengths = true;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("Header name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
