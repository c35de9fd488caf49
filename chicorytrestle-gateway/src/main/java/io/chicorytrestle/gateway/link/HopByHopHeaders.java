package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which apply to a single connection and must not be forwarded. */
public final class HopByHopHeaders {

    /** The headers that are never forwarded. */
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

    /** Prevents instantiation. */
    private HopByHopHeaders() {}

    /**
     * Removes the hop-by-hop headers and every header that {@code Connection} lists.
     *
     * @param headers The headers, which are modified.
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
