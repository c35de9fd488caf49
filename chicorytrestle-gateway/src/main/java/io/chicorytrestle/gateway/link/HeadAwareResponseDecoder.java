package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses and expects no body in the response to a HEAD request, whatever length its
 * headers declare.
 */
public final class HeadAwareResponseDecoder extends HttpResponseDecoder {

    /** The maximum size of the header section in bytes. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** The largest chunk in which a body is delivered, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /** Whether the next response answers a HEAD request. */
    private boolean isHeadRequest;

    /** Creates a decoder that expects a response with a body. */
    public HeadAwareResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES));
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
     * Determines the framing of the response that is decoded.
     *
     * @param head The head of the response.
     * @return The framing of its body.
     */
    public BodyFraming framing(HttpResponse head) {
        return isContentAlwaysEmpty(head) ? BodyFraming.NONE : BodyFraming.ofBody(head);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
