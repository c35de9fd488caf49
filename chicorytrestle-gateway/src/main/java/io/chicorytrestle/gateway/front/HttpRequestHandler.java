package io.chicorytrestle.gateway.front;

import io.netty.handler.codec.http.HttpRequest;

/** Processes callers' requests on the event loop thread. */
public interface HttpRequestHandler {

    /**
     * Processes a request whose body was received completely.
     *
     * @param head The request line and the headers.
     * @param body The body, empty if there is none.
     * @param arrivedMillis The earliest time in milliseconds at which the request can have arrived.
     * @param caller Receives the response, now or later.
     * @return Run if the caller disconnects before the response is complete.
     */
    Runnable handle(HttpRequest head, byte[] body, long arrivedMillis, ResponseSink caller);
}
