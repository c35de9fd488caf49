package io.chicorytrestle.gateway.front;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request, on the event loop's thread. */
public interface ResponseSink {

    /**
     * Sends the head of an answer.
     *
     * @param head The head, which states the length or a chunked body.
     */
    void sendHead(HttpResponse head);

    /**
     * Sends a piece of the body.
     *
     * @param content The piece, of which the last one ends the answer.
     */
    void send(HttpContent content);

    /**
     * Sends a whole answer.
     *
     * @param answer The answer, which states its length.
     */
    default void send(FullHttpResponse answer) {
        sendHead(
                new DefaultHttpResponse(
                        answer.protocolVersion(), answer.status(), answer.headers()));
        send(new DefaultLastHttpContent(answer.content()));
    }

    /** Breaks the connection, so that an unfinished answer cannot be taken for a whole one. */
    void abort();

    /**
     * Returns {@code true} if pieces should be held back.
     *
     * @return {@code true} if the caller reads slowly.
     */
    boolean isCongested();

    /**
     * Calls an action once the caller has read what was sent.
     *
     * @param action The action.
     */
    void whenDrained(Runnable action);
}
