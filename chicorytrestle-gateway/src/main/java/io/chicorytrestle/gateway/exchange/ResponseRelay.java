package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.gateway.front.ResponseSink;
import io.chicorytrestle.gateway.link.BodyFraming;
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
import java.util.Locale;
import java.util.Optional;

/** Forwards a response to the caller; an event stream is forwarded in whole events. */
final class ResponseRelay {

    /** The caller. */
    private final ResponseSink caller;

    /** Splits an event stream into events. */
    private final EventStreamSplitter splitter = new EventStreamSplitter();

    /** Whether the response is an event stream. */
    private boolean isEventStream;

    /** Whether the head of a response was sent. */
    private boolean isStarted;

    /** The status of the head that was sent, if the body follows in parts. */
    private HttpResponseStatus startedStatus = HttpResponseStatus.OK;

    /** The type of the body that follows in parts. */
    private String startedType = "";

    /**
     * Creates a relay for one request.
     *
     * @param caller Receives the response.
     */
    ResponseRelay(ResponseSink caller) {
        this.caller = caller;
    }

    /**
     * Returns the receiver of the response.
     *
     * @return The receiver of the response.
     */
    ResponseSink caller() {
        return caller;
    }

    /**
     * Returns {@code true} if the head of a response was sent.
     *
     * @return {@code true} if no other response can be sent.
     */
    boolean isStarted() {
        return isStarted;
    }

    /**
     * Returns the identifier of the last event that was forwarded.
     *
     * @return The identifier, or empty if no event carried one.
     */
    Optional<String> lastEventId() {
        return splitter.lastEventId();
    }

    /**
     * Forwards the head of a response whose body follows in parts.
     *
     * @param head The endpoint's head.
     * @param eventStream Whether the body is an event stream.
     */
    void start(HttpResponse head, boolean eventStream) {
        isStarted = true;
        startedStatus = head.status();
        startedType = contentType(head);
        isEventStream = eventStream;
        HttpResponse response = copyHead(head);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        caller.sendHead(response);
    }

    /**
     * Forwards a part of the body.
     *
     * @param content The part.
     * @return {@code true} if the caller receives something: for an event stream, a complete event.
     */
    boolean send(ByteBuf content) {
        byte[] bytes;
        if (isEventStream) {
            bytes = splitter.append(content);
            caller.holdBuffered(splitter.partialEventBytes());
        } else {
            bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
        }
        sendBytes(bytes);
        return bytes.length > 0;
    }

    /** Forwards what follows the last event of an event stream, and ends the body. */
    void complete() {
        sendBytes(splitter.takeRemainder());
        caller.send(new DefaultLastHttpContent());
    }

    /**
     * Returns {@code true} if an event stream cannot be complete where it ends now.
     *
     * @param framing How the endpoint's response declares the end of its body.
     * @return {@code true} if the stream ends inside an event or leaves events out.
     */
    boolean isBrokenOff(BodyFraming framing) {
        return isEventStream && splitter.isEndMissing(framing);
    }

    /**
     * Returns the number of bytes that follow the last complete event.
     *
     * @return The number of bytes, zero unless the response is an event stream.
     */
    int partialEventBytes() {
        return splitter.partialEventBytes();
    }

    /**
     * Discards the part of an event that was not forwarded; another run resumes the stream, if one
     * has begun.
     */
    void resume() {
        if (isStarted) {
            splitter.resume();
        }
    }

    /**
     * Declares that the response must continue a stream, of which the caller received a part.
     *
     * @param id The identifier of the last event that the caller received.
     */
    void resumeAfter(String id) {
        splitter.resumeAfter(id);
    }

    /**
     * Returns {@code true} if a response can continue the one whose head was forwarded.
     *
     * @param head The head of the response.
     * @return {@code true} if its status and the type of its body are the same.
     */
    boolean isContinuedBy(HttpResponse head) {
        return startedStatus.equals(head.status()) && startedType.equals(contentType(head));
    }

    /**
     * Returns why the current run does not continue the event stream.
     *
     * @return The reason, after which nothing more of this run may be forwarded, or empty.
     */
    Optional<EventSequence.Discontinuity> discontinuity() {
        return splitter.discontinuity();
    }

    /**
     * Returns {@code true} if another run can continue the response whose head was forwarded.
     *
     * @return {@code true} if it is an event stream whose last event carried an identifier.
     */
    boolean canResume() {
        return isEventStream && splitter.canResume();
    }

    /**
     * Returns {@code true} if the caller received an event of an event stream.
     *
     * @return {@code false} for any other response.
     */
    boolean hasEvents() {
        return isEventStream && splitter.hasEvents();
    }

    /**
     * Returns {@code true} if an event of an event stream is too large to be forwarded.
     *
     * @return {@code true} if nothing more of this run may be forwarded.
     */
    boolean isEventTooLarge() {
        return splitter.isEventTooLarge();
    }

    /**
     * Returns the type of a response's body.
     *
     * @param head The head of the response.
     * @return The type in lower case, empty if it is not stated.
     */
    private static String contentType(HttpResponse head) {
        return head.headers().get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
    }

    /** Closes the caller's connection, so that the response is recognisably incomplete. */
    void abort() {
        caller.abort();
    }

    /**
     * Forwards a complete response.
     *
     * @param head The endpoint's head.
     * @param body The complete body.
     */
    void sendComplete(HttpResponse head, byte[] body) {
        HttpResponse response = copyHead(head);
        if (!HttpResponseStatus.NO_CONTENT.equals(head.status())
                && !HttpResponseStatus.NOT_MODIFIED.equals(head.status())) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        isStarted = true;
        caller.sendHead(response);
        caller.send(new DefaultLastHttpContent(Unpooled.wrappedBuffer(body)));
    }

    /**
     * Sends a response of the gateway itself.
     *
     * @param status The status.
     * @param text The body.
     * @param retryAfterMillis The delay in milliseconds after which the caller may retry, or zero
     *     to send none.
     */
    void sendGatewayResponse(HttpResponseStatus status, String text, long retryAfterMillis) {
        isStarted = true;
        caller.send(LocalResponses.rejection(status, text, retryAfterMillis));
    }

    /**
     * Sends bytes of the body, if there are any.
     *
     * @param bytes The bytes, possibly none.
     */
    private void sendBytes(byte[] bytes) {
        if (bytes.length > 0) {
            caller.send(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    /**
     * Copies the head of an endpoint's response.
     *
     * @param head The endpoint's head.
     * @return The head without hop-by-hop headers.
     */
    private static HttpResponse copyHead(HttpResponse head) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        response.headers().add(head.headers());
        HopByHopHeaders.remove(response.headers());
        return response;
    }
}
