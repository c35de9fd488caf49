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

/** Builds the answers of the stand-ins. */
final class JsonResponses {

    /** Reads and writes JSON. */
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** The most bytes of a body. */
    static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    /** The status of a refusal that did not run anything. */
    private static final int STATUS_CONFLICT = 409;

    /** The header that tells whether a refused request ran. */
    private static final HttpHeader VERDICT_HEADER = HttpHeaders.of("X-Verdict");

    /** Prevents instances. */
    private JsonResponses() {}

    /**
     * Encodes a value.
     *
     * @param value The value.
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
     * Builds an answer with a value.
     *
     * @param value The value.
     * @return The answer.
     */
    static Promise<HttpResponse> ok(Object value) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(encode(value))
                .toPromise();
    }

    /**
     * Builds an answer without a body.
     *
     * @param status The status.
     * @return The answer.
     */
    static Promise<HttpResponse> ofStatus(int status) {
        return HttpResponse.ofCode(status).toPromise();
    }

    /**
     * Builds a refusal of work that did not run.
     *
     * @return The answer.
     */
    static Promise<HttpResponse> notRun() {
        return HttpResponse.ofCode(STATUS_CONFLICT).withHeader(VERDICT_HEADER, "not_run").toPromise();
    }

    /**
     * Builds an answer that breaks its connection.
     *
     * @return The answer.
     */
    static Promise<HttpResponse> brokenConnection() {
        return HttpResponse.ok200()
                .withBodyStream(ChannelSuppliers.ofException(new IOException("Cut by fault")))
                .toPromise();
    }
}
