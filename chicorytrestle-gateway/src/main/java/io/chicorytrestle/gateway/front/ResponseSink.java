package io.chicorytrestle.gateway.front;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Sends the response to one request to the caller. All methods run on the event loop thread. */
public interface ResponseSink {

    /**
     * Sends the status line and the headers. Called once, before any content.
     *
     * @param head The response head, which declares a content length or chunked encoding.
     */
    void sendHead(HttpResponse head);

    /**
     * Sends a chunk of the body.
     *
     * @param content The chunk; a {@code LastHttpContent} completes the response.
     */
    void send(HttpContent content);

    /**
     * Sends a complete response: head and body.
     *
     * @param response The response, which declares its content length.
     */
    default void send(FullHttpResponse response) {
        sendHead(
                new DefaultHttpResponse(
                        response.protocolVersion(), response.status(), response.headers()));
        send(new DefaultLastHttpContent(response.content()));
    }

    /**
     * Closes the connection, so that the caller cannot mistake a truncated response for a complete
     * one.
     */
    void abort();

    /**
     * Returns whether the sender should pause because too many bytes are unsent.
     *
     * @return {@code true} if the caller reads more slowly than the response is produced.
     */
    boolean isCongested();

    /**
     * Runs an action once everything sent so far has been written to the socket.
     *
     * @param action The action; dropped if the connection breaks first.
     */
    void whenDrained(Runnable action);

    /**
     * Declares how much of the response is held until it can be sent.
     *
     * @param bytes The number of bytes.
     * @return {@code false} if memory is short, so that it should be sent as soon as possible.
     */
    boolean holdBuffered(long bytes);
}
