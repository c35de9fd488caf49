package io.chicorytrestle.gateway.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;

/**
 * Translates between a deployment's HTTP headers and the gateway's types. It makes no decisions.
 */
public interface HeaderDialect {

    /**
     * Reads the head of a caller's request.
     *
     * @param head The head as the caller sent it.
     * @return The values of the headers.
     * @throws MalformedRequestException If a required header is missing or a header is malformed.
     */
    GatewayRequest read(HttpRequest head) throws MalformedRequestException;

    /**
     * Replaces the headers of a caller's request by those for an endpoint.
     *
     * @param headers The caller's headers without hop-by-hop headers, which are changed in place.
     * @param values The values to send.
     */
    void rewrite(HttpHeaders headers, EndpointHeaders values);

    /**
     * Reads the head of an endpoint's response.
     *
     * @param head The head as the endpoint sent it.
     * @return The values of the headers.
     */
    ResponseMetadata read(HttpResponse head);

    /**
     * Returns the names of the deployment's own headers that a response has at most once.
     *
     * @return The names.
     */
    List<String> singleResponseHeaders();
}
