package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes the headers that concern one connection only. */
public final class HopByHopHeaders {

    /** The headers that are never passed on. */
    private static final List<CharSequence> NAMES =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    "Proxy-Connection",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    /** Not to be created. */
    private HopByHopHeaders() {}

    /**
     * Removes the headers that concern one connection, and those that one of them names.
     *
     * @param headers The headers.
     */
    public static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                if (!name.isBlank()) {
                    headers.remove(name.strip());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
