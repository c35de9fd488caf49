package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers, of which those to a request for a head have no body. */
public final class HeadAwareResponseEncoder extends HttpResponseEncoder {

    /** Whether the next answer has a head only. */
    private boolean isHeadRequest;

    /**
     * States whether the next answer has a head only.
     *
     * @param headOnly Whether the request asked for a head.
     */
    public void setHeadRequest(boolean headOnly) {
        isHeadRequest = headOnly;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
