package io.chicorytrestle.daemon.endpoint;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Holds what the HTTP protocols of engines and plain services have in common. */
final class EndpointProtocol {

    /** Reads and writes JSON, ignoring unknown members. */
    static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** The header with the verdict of an endpoint's refusal. */
    static final HttpHeader VERDICT = HttpHeaders.of("X-Verdict");

    /** The header with the identifier of a request. */
    static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

    /** The header with the caller's idempotency key. */
    static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    /** The verdict of a refused request that did not run. */
    private static final String NOT_RUN = "not_run";

    /** The HTTP status of a refused request that did not run. */
    private static final int CONFLICT = 409;

    /** The HTTP status for a request that the endpoint does not know. */
    private static final int NOT_FOUND = 404;

    /** Not instantiable. */
    private EndpointProtocol() {}

    /**
     * Returns the URL of a resource of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param path The path and query.
     * @return The URL, with an IPv6 address in brackets.
     */
    static String urlOf(Endpoint endpoint, String path) {
        String host = endpoint.host().contains(":") ? "[" + endpoint.host() + "]" : endpoint.host();
        return "http://" + host + ":" + endpoint.port() + path;
    }

    /**
     * Percent-encodes a text for use in a path.
     *
     * @param text The text.
     * @return The encoded text.
     */
    static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Returns whether a response refuses a request that did not run.
     *
     * @param response The response.
     * @return {@code true} if the response has status 409 and the verdict not_run.
     */
    static boolean isRefusal(HttpResponse response) {
        return response.getCode() == CONFLICT && NOT_RUN.equals(response.getHeader(VERDICT));
    }

    /**
     * Returns the failure to report for an unexpected status of an engine.
     *
     * @param endpoint The engine.
     * @param response The response.
     * @return The failure. Unless the engine refused the request, it may have run.
     */
    static RequestFailureException toFailure(Endpoint endpoint, HttpResponse response) {
        if (isRefusal(response)) {
            return refusalFailure(endpoint);
        }
        FailureCode code =
                response.getCode() == NOT_FOUND
                        ? FailureCode.NOT_FOUND
                        : FailureCode.ENDPOINT_FAILED;
        return RequestFailureException.mayHaveRun(
                code,
                "Cannot use answer of endpoint: %s (status %d)"
                        .formatted(endpoint.name(), response.getCode()));
    }

    /**
     * Returns the failure for a request that an endpoint refused without running it.
     *
     * @param endpoint The endpoint.
     * @return The failure, with a verdict that nothing ran.
     */
    static RequestFailureException refusalFailure(Endpoint endpoint) {
        return RequestFailureException.notRun(
                FailureCode.OVERLOADED, "Cannot run at endpoint that refused: " + endpoint.name());
    }

    /**
     * Returns whether a failure was caused by the endpoint itself.
     *
     * @param failure The failure.
     * @return {@code true} if the endpoint was unreachable, failed or timed out.
     */
    static boolean isEndpointFault(RequestFailureException failure) {
        return switch (failure.code()) {
            case NO_ENDPOINT, ENDPOINT_FAILED, ANSWER_CUT -> true;
            default -> false;
        };
    }
}
