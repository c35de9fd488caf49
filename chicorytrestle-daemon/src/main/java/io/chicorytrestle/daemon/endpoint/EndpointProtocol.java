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

/** Names what the protocols of engines and plain services have in common. */
final class EndpointProtocol {

    /** Reads and writes JSON. */
    static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** The header with the verdict of a refusal. */
    static final HttpHeader VERDICT = HttpHeaders.of("X-Verdict");

    /** The header with the identifier of a request. */
    static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

    /** The header with the caller's key of an idempotent request. */
    static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    /** The verdict of a refusal that did not run. */
    private static final String NOT_RUN = "not_run";

    /** The status of a refusal that did not run. */
    private static final int CONFLICT = 409;

    /** The status of a request that the endpoint does not know. */
    private static final int NOT_FOUND = 404;

    /** Prevents instances. */
    private EndpointProtocol() {}

    /**
     * Returns the address of a resource of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param path The path and query.
     * @return The address.
     */
    static String urlOf(Endpoint endpoint, String path) {
        String host = endpoint.host().contains(":") ? "[" + endpoint.host() + "]" : endpoint.host();
        return "http://" + host + ":" + endpoint.port() + path;
    }

    /**
     * Returns a text as part of a path.
     *
     * @param text The text.
     * @return The encoded text.
     */
    static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Returns {@code true} if an answer is a refusal that did not run.
     *
     * @param response The answer.
     * @return {@code true} if an answer is a refusal that did not run.
     */
    static boolean isRefusal(HttpResponse response) {
        return response.getCode() == CONFLICT && NOT_RUN.equals(response.getHeader(VERDICT));
    }

    /**
     * Returns the failure that an unwanted status of an engine stands for.
     *
     * @param endpoint The engine.
     * @param response The answer.
     * @return The failure.
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
     * Returns the failure of a request that an endpoint refused and did not run.
     *
     * @param endpoint The endpoint.
     * @return The failure.
     */
    static RequestFailureException refusalFailure(Endpoint endpoint) {
        return RequestFailureException.notRun(
                FailureCode.OVERLOADED, "Cannot run at endpoint that refused: " + endpoint.name());
    }

    /**
     * Returns {@code true} if a failure lies with the endpoint itself.
     *
     * @param failure The failure.
     * @return {@code true} if the endpoint could not be reached, broke or fell silent.
     */
    static boolean isEndpointFault(RequestFailureException failure) {
        return switch (failure.code()) {
            case NO_ENDPOINT, ENDPOINT_FAILED, ANSWER_CUT -> true;
            default -> false;
        };
    }
}
