package io.chicorytrestle.gateway.link;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Builds responses that the gateway generates itself, without an endpoint. */
public final class LocalResponses {

    /** Milliseconds per second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Prevents instantiation. */
    private LocalResponses() {}

    /**
     * Returns a plain-text response.
     *
     * @param status The status.
     * @param text The body, to which a line feed is added.
     * @return The response.
     */
    public static FullHttpResponse plainText(HttpResponseStatus status, String text) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer((text + '\n').getBytes(StandardCharsets.UTF_8)));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        return response;
    }

    /**
     * Returns a plain-text response with a {@code Retry-After} header in seconds, with fractions.
     *
     * @param status The status.
     * @param text The body, to which a line feed is added.
     * @param retryAfterMillis The delay in milliseconds, or zero to omit the header.
     * @return The response.
     */
    public static FullHttpResponse rejection(
            HttpResponseStatus status, String text, long retryAfterMillis) {
        FullHttpResponse response = plainText(status, text);
        if (retryAfterMillis > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        return response;
    }

    /**
     * Returns a plain-text response with {@code Connection: close}.
     *
     * @param status The status.
     * @param text The body, to which a line feed is added.
     * @return The response.
     */
    public static FullHttpResponse closingConnection(HttpResponseStatus status, String text) {
        FullHttpResponse response = plainText(status, text);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /**
     * Returns the refusal of a request that has not run, since the instance holds too much, with
     * {@code Connection: close}.
     *
     * @param retryAfterMillis The delay in milliseconds after which the caller may retry.
     * @return The response.
     */
    public static FullHttpResponse instanceFull(long retryAfterMillis) {
        FullHttpResponse response =
                rejection(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "instance holds as much as its memory and descriptors allow",
                        retryAfterMillis);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /**
     * Returns the interim response 100 (Continue).
     *
     * @return The response.
     */
    public static FullHttpResponse continueRequest() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }
}
