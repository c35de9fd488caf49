package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, of which those to a request for a head have no body. */
public final class HeadAwareResponseDecoder extends HttpResponseDecoder {

    /** The most bytes of a status line and of all headers. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** The largest piece in which a body is delivered, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /** Whether the next answer has a head only. */
    private boolean isHeadRequest;

    /** Creates a new decoder. */
    public HeadAwareResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES));
    }

    /**
     * States whether the next answer has a head only.
     *
     * @param headOnly Whether the request asked for a head.
     */
    public void setHeadRequest(boolean headOnly) {
        isHeadRequest = headOnly;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
