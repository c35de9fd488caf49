package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses and omits the body of the response to a HEAD request. */
public final class HeadAwareResponseEncoder extends HttpResponseEncoder {

    /** Whether the next response answers a HEAD request. */
    private boolean isHeadRequest;

    /**
     * Sets whether the next response answers a HEAD request. Called before each response.
     *
     * @param headOnly Whether the request method is HEAD.
     */
    public void setHeadRequest(boolean headOnly) {
        isHeadRequest = headOnly;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
