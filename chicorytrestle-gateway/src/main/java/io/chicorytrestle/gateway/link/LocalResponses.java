package io.chicorytrestle.gateway.link;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Builds the answers that the gateway gives by itself. */
public final class LocalResponses {

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Not to be created. */
    private LocalResponses() {}

    /**
     * Returns an answer of plain text.
     *
     * @param status The status.
     * @param text The text.
     * @return The answer.
     */
    public static FullHttpResponse plainText(HttpResponseStatus status, String text) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer((text + '\n').getBytes(StandardCharsets.UTF_8)));
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        return answer;
    }

    /**
     * Returns an answer that says when to come back.
     *
     * @param status The status.
     * @param text The text.
     * @param retryAfterMillis The delay in milliseconds, or zero to state none.
     * @return The answer.
     */
    public static FullHttpResponse rejection(
            HttpResponseStatus status, String text, long retryAfterMillis) {
        FullHttpResponse answer = plainText(status, text);
        if (retryAfterMillis > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        return answer;
    }

    /**
     * Returns an answer after which the connection is closed.
     *
     * @param status The status.
     * @param text The text.
     * @return The answer.
     */
    public static FullHttpResponse closingConnection(HttpResponseStatus status, String text) {
        FullHttpResponse answer = plainText(status, text);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return answer;
    }

    /**
     * Returns the interim answer that lets a caller send its body.
     *
     * @return The answer.
     */
    public static FullHttpResponse continueRequest() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }
}
