package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** Enumerates the ways in which a response declares the end of its body. */
public enum BodyFraming {

    /** No body follows the head. */
    NONE,

    /** A length in the head. */
    LENGTH,

    /** A last chunk. */
    CHUNKED,

    /** The end of the connection, which cannot be told from a truncation in the body. */
    CONNECTION_END;

    /**
     * Determines the framing of a response that has a body.
     *
     * @param head The head of the response.
     * @return The framing of its body.
     */
    static BodyFraming ofBody(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_END;
    }

    /**
     * Returns the name for logs and metrics.
     *
     * @return The name in lower case.
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
