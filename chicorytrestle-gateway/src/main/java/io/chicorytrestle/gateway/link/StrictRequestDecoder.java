package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/** Decodes requests and marks those whose length could be read in two ways. */
public final class StrictRequestDecoder extends HttpRequestDecoder {

    /** The header that marks a request with an ambiguous length; no caller can send this name. */
    private static final String AMBIGUOUS = "ambiguous-length";

    /** The largest piece in which a body is delivered, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

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
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        message.headers().set(AMBIGUOUS, "");
    }

    /**
     * Returns {@code true} if the length of a message is beyond doubt.
     *
     * @param message The head of the message.
     * @return {@code true} if at most one kind of length is given, and it is understood.
     */
    public static boolean hasClearLength(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean understood =
                encodings.isEmpty()
                        || (encodings.size() == 1
                                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                        encodings.get(0).trim()));
        return understood && !message.headers().contains(AMBIGUOUS);
    }
}
