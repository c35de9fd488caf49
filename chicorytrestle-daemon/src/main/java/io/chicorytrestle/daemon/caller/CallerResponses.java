package io.chicorytrestle.daemon.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Builds the HTTP responses to callers, each with the request's identifier and verdict. */
final class CallerResponses {

    /** The header with the identifier of the request. */
    static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

    /** The header with the verdict in lower case. */
    static final HttpHeader VERDICT = HttpHeaders.of("X-Verdict");

    /** The header that marks the stored outcome of an earlier call with the same ticket. */
    static final HttpHeader REPLAYED = HttpHeaders.of("X-Replayed");

    /** The media type of JSON bodies. */
    static final String JSON = "application/json";

    /** The media type of streamed bodies. */
    static final String EVENT_STREAM = "text/event-stream";

    /** The header with the advised delay before a retry, in seconds. */
    private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");

    /** The header that names the required authentication scheme. */
    private static final HttpHeader AUTHENTICATE = HttpHeaders.of("WWW-Authenticate");

    /** The HTTP status for a missing or invalid credential. */
    private static final int UNAUTHORIZED = 401;

    /** The number of milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Serialises bodies, leaving out {@code null} members. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().setSerializationInclusion(JsonInclude.Include.NON_NULL);

    /** Not instantiable. */
    private CallerResponses() {}

    /**
     * Starts building a response with the headers that all responses share.
     *
     * @param status The HTTP status.
     * @param requestId The identifier of the request.
     * @param verdict The verdict.
     * @param type The media type of the body.
     * @return The builder, without a body.
     */
    static HttpResponse.Builder responseBuilder(
            int status, String requestId, Verdict verdict, String type) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, type)
                .withHeader(HttpHeaders.CACHE_CONTROL, "no-store")
                .withHeader(REQUEST_ID, requestId)
                .withHeader(VERDICT, verdictText(verdict));
    }

    /**
     * Builds a response with a JSON body.
     *
     * @param status The HTTP status.
     * @param requestId The identifier of the request.
     * @param verdict The verdict.
     * @param body The body.
     * @return The response.
     */
    static HttpResponse json(int status, String requestId, Verdict verdict, Object body) {
        return responseBuilder(status, requestId, verdict, JSON)
                .withBody(toJsonBytes(body))
                .build();
    }

    /**
     * Builds the response to a failed request.
     *
     * @param requestId The identifier of the request.
     * @param failure The failure.
     * @param closeConnection {@code true} to close the connection after the response.
     * @return The response.
     */
    static HttpResponse failure(
            String requestId, RequestFailureException failure, boolean closeConnection) {
        int status = FailureStatus.statusCodeOf(failure.code());
        HttpResponse.Builder builder =
                responseBuilder(status, requestId, failure.verdict(), JSON)
                        .withBody(toJsonBytes(errorBodyOf(requestId, failure)));
        if (failure.retryAfterMillis() >= 0) {
            long seconds = (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            builder.withHeader(RETRY_AFTER, Long.toString(seconds));
        }
        if (status == UNAUTHORIZED) {
            builder.withHeader(AUTHENTICATE, "Bearer");
        }
        if (closeConnection) {
            builder.withHeader(HttpHeaders.CONNECTION, "close");
        }
        return builder.build();
    }

    /**
     * Returns the JSON body that describes a failure.
     *
     * @param requestId The identifier of the request.
     * @param failure The failure.
     * @return The body.
     */
    static ErrorBody errorBodyOf(String requestId, RequestFailureException failure) {
        return new ErrorBody(
                new ErrorDetail(
                        failure.code().wireName(),
                        failure.message(),
                        verdictText(failure.verdict()),
                        requestId,
                        failure.retryAfterMillis() < 0 ? null : failure.retryAfterMillis()));
    }

    /**
     * Returns the verdict as it is sent to callers.
     *
     * @param verdict The verdict.
     * @return The verdict in lower case.
     */
    static String verdictText(Verdict verdict) {
        return verdict.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Serialises a body as JSON.
     *
     * @param body The body.
     * @return The JSON in UTF-8.
     * @throws IllegalStateException If the body's type cannot be serialised.
     */
    static byte[] toJsonBytes(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("Cannot write body: " + body.getClass(), exception);
        }
    }

    /**
     * Formats a server-sent event.
     *
     * @param body The event's data, which is serialised as JSON.
     * @return The event in UTF-8.
     */
    static byte[] serverSentEvent(Object body) {
        return ("data: " + new String(toJsonBytes(body), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * The JSON body of a failed request.
     *
     * @param error The details of the failure.
     */
    record ErrorBody(ErrorDetail error) {}

    /**
     * The details of a failure.
     *
     * @param code The stable code of the failure.
     * @param message What was refused and why.
     * @param verdict The verdict.
     * @param requestId The identifier of the request.
     * @param retryAfterMillis The advised delay in milliseconds, or {@code null} for no advice.
     */
    record ErrorDetail(
            String code,
            String message,
            String verdict,
            String requestId,
            @Nullable Long retryAfterMillis) {}
}
