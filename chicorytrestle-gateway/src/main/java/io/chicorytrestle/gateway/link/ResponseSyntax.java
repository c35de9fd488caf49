package io.chicorytrestle.gateway.link;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Decides whether the head and the trailers of a response are well-formed, as far as that tells one
 * response from parts of several.
 */
public final class ResponseSyntax {

    /** The headers of HTTP that a response has at most once, and only in its head. */
    private static final List<String> STANDARD_SINGLE_HEADERS =
            List.of(
                    HttpHeaderNames.CONTENT_TYPE.toString(),
                    HttpHeaderNames.CONTENT_LENGTH.toString(),
                    HttpHeaderNames.TRANSFER_ENCODING.toString());

    /** The begin of a status line. */
    private static final String PROTOCOL = "HTTP/";

    /** A status line, which no other line contains. */
    private static final Pattern STATUS_LINE = Pattern.compile(PROTOCOL + "\\d\\.\\d[ \\t]+\\d{3}");

    /** A status code. */
    private static final Pattern STATUS_CODE = Pattern.compile("[0-9]{3}");

    /** A character that no line contains. */
    private static final Pattern CONTROL_CHARACTER = Pattern.compile("[\\x00-\\x08\\x0a-\\x1f]");

    /** The name of a header. */
    private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    /** The lowest status code of HTTP. */
    private static final int LOWEST_STATUS = 100;

    /** The highest status code of HTTP. */
    private static final int HIGHEST_STATUS = 599;

    /** The statuses whose responses neither have a body nor describe that of another response. */
    private static final Set<HttpResponseStatus> BODILESS_STATUSES =
            Set.of(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.RESET_CONTENT);

    /** The length of a body without content. */
    private static final String NO_LENGTH = "0";

    /** The headers that a response has at most once, and only in its head. */
    private final List<String> singleHeaders;

    /**
     * Creates a syntax.
     *
     * @param deploymentHeaders The names of headers that a response has at most once, and only in
     *     its head, besides those of HTTP.
     */
    private ResponseSyntax(Collection<String> deploymentHeaders) {
        singleHeaders =
                Stream.concat(STANDARD_SINGLE_HEADERS.stream(), deploymentHeaders.stream())
                        .toList();
    }

    /**
     * Creates a syntax.
     *
     * @param deploymentHeaders The names of headers that a response has at most once, and only in
     *     its head, besides those of HTTP.
     * @return The syntax.
     */
    public static ResponseSyntax of(Collection<String> deploymentHeaders) {
        return new ResponseSyntax(deploymentHeaders);
    }

    /**
     * Finds what is wrong with a head.
     *
     * @param head The head.
     * @return What is wrong, or empty if it is well-formed.
     */
    Optional<String> findDefect(HttpResponse head) {
        boolean isVersionKnown =
                head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        || head.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (!isVersionKnown) {
            return Optional.of("version is not HTTP/1.0 or HTTP/1.1: " + head.protocolVersion());
        }
        int status = head.status().code();
        if (status < LOWEST_STATUS
                || status > HIGHEST_STATUS
                || status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            return Optional.of("status is not one that a request asks for: " + status);
        }
        String reason = head.status().reasonPhrase();
        if (containsStatusLine(reason) || CONTROL_CHARACTER.matcher(reason).find()) {
            return Optional.of("status line contains another one or a control character");
        }
        if (BODILESS_STATUSES.contains(head.status()) && declaresBody(head.headers())) {
            return Optional.of("body is declared for a status that has none: " + status);
        }
        if (!StrictRequestDecoder.hasKnownEncoding(head)) {
            return Optional.of("transfer encoding is not exactly \"chunked\"");
        }
        for (String name : singleHeaders) {
            if (head.headers().getAll(name).size() > 1) {
                return Optional.of("header occurs more than once: " + name);
            }
        }
        return findJoinedLine(head.headers());
    }

    /**
     * Returns whether headers declare a body with content.
     *
     * @param headers The headers of a response.
     * @return {@code true} if they declare chunks or a length other than zero.
     */
    private static boolean declaresBody(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                || !headers.get(HttpHeaderNames.CONTENT_LENGTH, NO_LENGTH).equals(NO_LENGTH);
    }

    /**
     * Finds what is wrong with trailers.
     *
     * @param trailers The trailers, possibly none.
     * @return What is wrong, or empty if they are well-formed.
     */
    Optional<String> findDefect(HttpHeaders trailers) {
        for (String name : singleHeaders) {
            if (trailers.contains(name)) {
                return Optional.of("header occurs in the trailers: " + name);
            }
        }
        for (Map.Entry<String, String> trailer : trailers) {
            if (!NAME.matcher(trailer.getKey()).matches()
                    || CONTROL_CHARACTER.matcher(trailer.getValue()).find()) {
                return Optional.of("trailer contains forbidden characters");
            }
        }
        return findJoinedLine(trailers);
    }

    /**
     * Finds a header whose line contains a status line.
     *
     * @param headers The headers or trailers.
     * @return What is wrong with the line, or empty if there is no such header.
     */
    private static Optional<String> findJoinedLine(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (containsStatusLine(header.getValue())) {
                return Optional.of("header contains a status line: " + header.getKey());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a text has the form of a status code.
     *
     * @param text The text.
     * @return {@code true} if it consists of three digits.
     */
    static boolean isStatusCode(String text) {
        return STATUS_CODE.matcher(text).matches();
    }

    /**
     * Returns whether a part of a line contains a status line.
     *
     * @param text The part.
     * @return {@code true} if another response begins in it.
     */
    static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
