package io.chicorytrestle.gateway.endpoint;

import io.chicorytrestle.gateway.dialect.ResponseMetadata;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer to one request, on the event loop's thread. */
public interface ResponseListener {

    /**
     * Takes the head of the answer.
     *
     * @param head The head.
     * @param facts What the head says beside its status.
     */
    void onHead(HttpResponse head, ResponseMetadata facts);

    /**
     * Takes a piece of the body.
     *
     * @param content The piece, which is released after the call.
     */
    void onContent(ByteBuf content);

    /** Takes note of the complete answer. */
    void onComplete();

    /**
     * Takes note of an answer that is not the endpoint's to this request. The request may have run.
     *
     * @param cause What is wrong with the answer.
     */
    void onInvalidResponse(String cause);

    /**
     * Takes note of a connection that broke before the answer was complete. The request may have
     * run, and the endpoint may have crashed.
     *
     * @param cause What happened to the connection.
     */
    void onConnectionLost(String cause);
}
