package io.chicorytrestle.gateway.endpoint;

import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.chicorytrestle.gateway.link.BodyFraming;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request on the event loop's thread. */
public interface ResponseListener {

    /**
     * Receives the head of the response.
     *
     * @param head The head.
     * @param framing How the response declares the end of its body.
     * @param metadata The content of the deployment's own headers.
     */
    void onHead(HttpResponse head, BodyFraming framing, ResponseMetadata metadata);

    /**
     * Receives a part of the body.
     *
     * @param content The part, which is released after the call.
     */
    void onContent(ByteBuf content);

    /** Receives the end of a complete response. The connection was already released or closed. */
    void onComplete();

    /**
     * Receives the failure of a malformed or unexpected response. The request may have run.
     *
     * @param cause What is wrong with the response.
     */
    void onInvalidResponse(String cause);

    /**
     * Receives the loss of the connection before the response was complete. The request may have
     * run, and the endpoint may have crashed.
     *
     * @param cause The failure of the connection.
     */
    void onConnectionLost(String cause);
}
