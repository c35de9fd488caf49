package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.gateway.front.ResponseSink;
import io.chicorytrestle.gateway.link.HopByHopHeaders;
import io.chicorytrestle.gateway.link.LocalResponses;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/** Passes an answer on to the caller, a stream event by event. */
final class ResponseRelay {

    /** The caller. */
    private final ResponseSink caller;

    /** Splits a stream into events. */
    private final EventStreamSplitter splitter = new EventStreamSplitter();

    /** Whether the answer is a stream of events. */
    private boolean isEventStream;

    /** Whether part of the answer was passed on. */
    private boolean isStarted;

    /**
     * Creates a new relay.
     *
     * @param caller The caller.
     */
    ResponseRelay(ResponseSink caller) {
        this.caller = caller;
    }

    /**
     * Returns the caller.
     *
     * @return The caller.
     */
    ResponseSink caller() {
        return caller;
    }

    /**
     * Returns {@code true} if part of an answer was passed on.
     *
     * @return {@code true} if part of an answer was passed on.
     */
    boolean isStarted() {
        return isStarted;
    }

    /**
     * Returns the last event that was passed on.
     *
     * @return The identifier of the event, if any.
     */
    Optional<String> lastEventId() {
        return splitter.lastEventId();
    }

    /**
     * Passes on the head of an answer whose body follows in pieces.
     *
     * @param head The endpoint's head.
     * @param events Whether the body is a stream of events.
     */
    void start(HttpResponse head, boolean events) {
        isStarted = true;
        isEventStream = events;
        HttpResponse answer = copyHead(head);
        answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        caller.sendHead(answer);
    }

    /**
     * Passes on a piece of the body.
     *
     * @param content The piece.
     */
    void send(ByteBuf content) {
        if (isEventStream) {
            sendBytes(splitter.append(content));
        } else {
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            sendBytes(bytes);
        }
    }

    /** Ends the body as a complete one. */
    void complete() {
        sendBytes(splitter.takePartialEvent());
        caller.send(new DefaultLastHttpContent());
    }

    /** Forgets the part of an event that was not passed on. */
    void dropPartialEvent() {
        splitter.dropPartialEvent();
    }

    /** Breaks the answer. */
    void abort() {
        caller.abort();
    }

    /**
     * Passes on a whole answer.
     *
     * @param head The endpoint's head.
     * @param body The body.
     */
    void sendComplete(HttpResponse head, byte[] body) {
        HttpResponse answer = copyHead(head);
        if (!HttpResponseStatus.NO_CONTENT.equals(head.status())
                && !HttpResponseStatus.NOT_MODIFIED.equals(head.status())) {
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        isStarted = true;
        caller.sendHead(answer);
        caller.send(new DefaultLastHttpContent(Unpooled.wrappedBuffer(body)));
    }

    /**
     * Sends an answer of the gateway's own.
     *
     * @param status The status.
     * @param text The text.
     * @param retryAfterMillis The delay after which the caller may come back, in milliseconds, or
     *     zero to state none.
     */
    void sendGatewayResponse(HttpResponseStatus status, String text, long retryAfterMillis) {
        isStarted = true;
        caller.send(LocalResponses.rejection(status, text, retryAfterMillis));
    }

    /**
     * Sends bytes of the body.
     *
     * @param bytes The bytes, perhaps none.
     */
    private void sendBytes(byte[] bytes) {
        if (bytes.length > 0) {
            caller.send(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    /**
     * Copies the head of an endpoint's answer.
     *
     * @param head The endpoint's head.
     * @return The head without the headers that concern one connection.
     */
    private static HttpResponse copyHead(HttpResponse head) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        answer.headers().add(head.headers());
        HopByHopHeaders.remove(answer.headers());
        return answer;
    }
}
