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

/** Builds the request to an endpoint from that of the caller. */
final class EndpointRequestBuilder {

    /** Translates headers. */
    private final HeaderDialect dialect;

    /** The workspace of the caller, if any. */
    private final Optional<Workspace> workspace;

    /** The route. */
    private final Route route;

    /** The head as the caller sent it. */
    private final HttpRequest head;

    /** The body. */
    private final byte[] body;

    /**
     * Creates a new writer.
     *
     * @param dialect Translates headers.
     * @param workspace The workspace of the caller, if any.
     * @param route The route.
     * @param head The head as the caller sent it.
     * @param body The body.
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
     * Builds the request.
     *
     * @param placement The endpoint and where it can fetch cached parts.
     * @param remainingMillis The time left in milliseconds.
     * @param lastEventId The last event that the caller has, if a stream is continued.
     * @return The request.
     */
    FullHttpRequest build(Placement placement, long remainingMillis, Optional<String> lastEventId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.add(head.headers());
        HopByHopHeaders.remove(headers);
        OptionalInt rank =
                route.isSticky()
                        ? OptionalInt.of(
                                workspace
                                        .map(Workspace::rank)
                                        .orElse(OptionalInt.empty())
                                        .orElse(route.rank()))
                        : OptionalInt.empty();
        dialect.rewrite(
                headers,
                new EndpointHeaders(
                        placement,
                        remainingMillis,
                        workspace.map(Workspace::name),
                        rank,
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
     * @return {@code true} if an absent length means that there is no body.
     */
    private static boolean usuallyHasNoBody(HttpMethod method) {
        return method.equals(HttpMethod.GET)
                || method.equals(HttpMethod.HEAD)
                || method.equals(HttpMethod.DELETE)
                || method.equals(HttpMethod.OPTIONS);
    }
}
