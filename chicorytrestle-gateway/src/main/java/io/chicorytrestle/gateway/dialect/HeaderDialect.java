package io.chicorytrestle.gateway.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between a deployment's headers and the product's types. It decides nothing. */
public interface HeaderDialect {

    /**
     * Reads the head of a caller's request.
     *
     * @param head The head.
     * @return What the caller asked for.
     * @throws MalformedRequestException If a header is missing or cannot be read.
     */
    GatewayRequest read(HttpRequest head) throws MalformedRequestException;

    /**
     * Rewrites the headers of a caller's request for an endpoint.
     *
     * @param headers The caller's headers, without those that concern one connection.
     * @param order What the endpoint is told.
     */
    void rewrite(HttpHeaders headers, EndpointHeaders order);

    /**
     * Reads the head of an endpoint's answer.
     *
     * @param head The head.
     * @return What the answer says beside its status.
     */
    ResponseMetadata read(HttpResponse head);
}
