package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.route.Workspace;
import io.chicorytrestle.gateway.dialect.EndpointHeaders;
import io.chicorytrestle.gateway.dialect.HeaderDialect;
import io.chicorytrestle.gateway.link.HopByHopHeaders;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalInt;

/** Builds the request to an endpoint from the request of a caller. */
final class EndpointRequestBuilder {

    /** Translates HTTP headers. */
    private final HeaderDialect dialect;

    /** The workspace of the caller, or empty if it has none. */
    private final Optional<Workspace> workspace;

    /** The route, which sets the default priority rank. */
    private final Route route;

    /** The head as the caller sent it. */
    private final HttpRequest head;

    /** The body, which is sent unchanged. */
    private final byte[] body;

    /**
     * Creates a builder for the attempts of one request.
     *
     * @param dialect Translates HTTP headers.
     * @param workspace The workspace of the caller, or empty if it has none.
     * @param route The route, which sets the default priority rank.
     * @param head The head as the caller sent it.
     * @param body The body, which is sent unchanged.
     */
    EndpointRequestBuilder(
            HeaderDialect dialect,
            Optional<Workspace> workspace,
            Route route,
            HttpRequest head,
            byte[] body) {
        this.dialect = dialect;
        this.workspace = workspace;
        this.route = route;
        this.head = head;
        this.body = body;
    }

    /**
     * Builds the request for one attempt.
     *
     * @param placement The endpoint, and where it can fetch cached prompt parts.
     * @param remainingMillis The time until the deadline in milliseconds.
     * @param lastEventId The last event that the caller received, if a stream is resumed.
     * @return The request to the endpoint.
     */
    FullHttpRequest build(Placement placement, long remainingMillis, Optional<String> lastEventId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.add(head.headers());
        HopByHopHeaders.remove(headers);
        OptionalInt priorityRank =
                route.isSticky()
                        ? OptionalInt.of(
                                workspace
                                        .map(Workspace::priorityRank)
                                        .orElse(OptionalInt.empty())
                                        .orElse(route.priorityRank()))
                        : OptionalInt.empty();
        dialect.rewrite(
                headers,
                new EndpointHeaders(
                        placement,
                        remainingMillis,
                        workspace.map(Workspace::name),
                        priorityRank,
                        lastEventId));
        if (body.length > 0 || !usuallyHasNoBody(head.method())) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                Unpooled.wrappedBuffer(body),
                headers,
                new DefaultHttpHeaders());
    }

    /**
     * Returns {@code true} if requests of a method usually have no body.
     *
     * @param method The method.
     * @return {@code true} if no content length needs to be sent for an empty body.
     */
    private static boolean usuallyHasNoBody(HttpMethod method) {
        return method.equals(HttpMethod.GET)
                || method.equals(HttpMethod.HEAD)
                || method.equals(HttpMethod.DELETE)
                || method.equals(HttpMethod.OPTIONS);
    }
}
