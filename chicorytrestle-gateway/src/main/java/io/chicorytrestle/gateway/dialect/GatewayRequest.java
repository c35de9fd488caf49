package io.chicorytrestle.gateway.dialect;

import io.chicorytrestle.core.placement.Prompt;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what the head of a caller's request states.
 *
 * @param id The identifier of the caller's attempt, never empty.
 * @param host The host without a port.
 * @param path The path without a query.
 * @param deadlineMillis The time in milliseconds for which the caller waits, if stated.
 * @param apiKey The caller's API key, if present.
 * @param prompt The prompt of a model request, if the caller describes it.
 * @param lastEventId The last event that the caller received, if it resumes a stream.
 * @param resumedId The identifier of the caller's attempt that brought the first event of that
 *     stream, if stated.
 */
public record GatewayRequest(
        String id,
        String host,
        String path,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        Optional<Prompt> prompt,
        Optional<String> lastEventId,
        Optional<String> resumedId) {

    /** Checks the identifier. */
    public GatewayRequest {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("Request has an empty identifier");
        }
    }
}
