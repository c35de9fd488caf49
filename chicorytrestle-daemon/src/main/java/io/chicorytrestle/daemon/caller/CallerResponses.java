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

/** Builds the answers to callers, each with its request's identifier and verdict. */
final class CallerResponses {

    /** The header with the identifier of the request. */
    static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

    /** The header with the verdict. */
    static final HttpHeader VERDICT = HttpHeaders.of("X-Verdict");

    /** The header that marks a stored outcome. */
    static final HttpHeader REPLAYED = HttpHeaders.of("X-Replayed");

    /** The type of JSON bodies. */
    static final String JSON = "application/json";

    /** The type of streamed bodies. */
    static final String EVENT_STREAM = "text/event-stream";

    /** The header with the advised delay in seconds. */
    private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");

    /** The header that tells which credentials are wanted. */
    private static final HttpHeader AUTHENTICATE = HttpHeaders.of("WWW-Authenticate");

    /** The status that asks for credentials. */
    private static final int UNAUTHORIZED = 401;

    /** The milliseconds of a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Writes JSON without empty members. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().setSerializationInclusion(JsonInclude.Include.NON_NULL);

    /** Prevents instances. */
    private CallerResponses() {}

    /**
     * Starts an answer.
     *
     * @param status The status.
     * @param requestId The identifier of the request.
     * @param verdict The verdict.
     * @param type The type of the body.
     * @return The answer without its body.
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
     * Builds an answer with a JSON body.
     *
     * @param status The status.
     * @param requestId The identifier of the request.
     * @param verdict The verdict.
     * @param body The body.
     * @return The answer.
     */
    static HttpResponse json(int status, String requestId, Verdict verdict, Object body) {
        return responseBuilder(status, requestId, verdict, JSON)
                .withBody(toJsonBytes(body))
                .build();
    }

    /**
     * Builds the answer to a failed request.
     *
     * @param requestId The identifier of the request.
     * @param failure The failure.
     * @param closing {@code true} if the connection must not be used again.
     * @return The answer.
     */
    static HttpResponse failure(
            String requestId, RequestFailureException failure, boolean closing) {
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
        if (closing) {
            builder.withHeader(HttpHeaders.CONNECTION, "close");
        }
        return builder.build();
    }

    /**
     * Returns the body of a failure.
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
     * Returns a verdict as callers read it.
     *
     * @param verdict The verdict.
     * @return The verdict in lower case.
     */
    static String verdictText(Verdict verdict) {
        return verdict.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Writes a body as JSON.
     *
     * @param body The body.
     * @return The bytes.
     * @throws IllegalStateException If the body's type cannot be written.
     */
    static byte[] toJsonBytes(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("Cannot write body: " + body.getClass(), exception);
        }
    }

    /**
     * Writes a server-sent event.
     *
     * @param body The event's data.
     * @return The bytes.
     */
    static byte[] serverSentEvent(Object body) {
        return ("data: " + new String(toJsonBytes(body), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * The body of a failure.
     *
     * @param error What failed.
     */
    record ErrorBody(ErrorDetail error) {}

    /**
     * Tells what failed.
     *
     * @param code The stable code.
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
