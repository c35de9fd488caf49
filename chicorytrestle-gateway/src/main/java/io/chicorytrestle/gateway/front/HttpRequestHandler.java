package io.chicorytrestle.gateway.front;

import io.netty.handler.codec.http.HttpRequest;

/** Takes the requests of callers, on the event loop's thread. */
public interface HttpRequestHandler {

    /**
     * Takes a whole request.
     *
     * @param head The head.
     * @param body The body.
     * @param caller Receives the answer.
     * @return Called if the caller leaves before the answer is complete.
     */
    Runnable handle(HttpRequest head, byte[] body, ResponseSink caller);
}
