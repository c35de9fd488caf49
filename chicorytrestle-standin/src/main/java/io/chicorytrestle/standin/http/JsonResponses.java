package io.chicorytrestle.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Builds the HTTP responses of the stand-ins. */
final class JsonResponses {

    /**
     * Reads and writes JSON with the default settings: unknown fields are errors unless the type
     * ignores them.
     */
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** The maximum size of a request body in bytes. */
    static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    /** The status of a request that was refused without running. */
    private static final int STATUS_CONFLICT = 409;

    /** The response header that states whether a refused request ran. */
    private static final HttpHeader VERDICT_HEADER = HttpHeaders.of("X-Verdict");

    /** Prevents instantiation. */
    private JsonResponses() {}

    /**
     * Encodes a value as JSON.
     *
     * @param value The value to encode.
     * @return The value as JSON.
     * @throws UncheckedIOException If the value cannot be written.
     */
    static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Builds a response with a JSON body.
     *
     * @param value The value to encode.
     * @return The response.
     */
    static Promise<HttpResponse> ok(Object value) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(encode(value))
                .toPromise();
    }

    /**
     * Builds a response without a body.
     *
     * @param status The HTTP status code.
     * @return The response.
     */
    static Promise<HttpResponse> ofStatus(int status) {
        return HttpResponse.ofCode(status).toPromise();
    }

    /**
     * Builds the refusal of a request that did not run and may be retried elsewhere.
     *
     * @return The response.
     */
    static Promise<HttpResponse> notRun() {
        return HttpResponse.ofCode(STATUS_CONFLICT)
                .withHeader(VERDICT_HEADER, "not_run")
                .toPromise();
    }

    /**
     * Builds a response whose connection breaks before the body.
     *
     * @return The response.
     */
    static Promise<HttpResponse> brokenConnection() {
        return HttpResponse.ok200()
                .withBodyStream(
                        ChannelSuppliers.ofException(
                                new IOException("Connection broken by injected fault")))
                .toPromise();
    }
}
