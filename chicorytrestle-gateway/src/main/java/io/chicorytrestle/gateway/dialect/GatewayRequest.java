package io.chicorytrestle.gateway.dialect;

import io.chicorytrestle.core.placement.Prompt;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Describes what a caller asked for.
 *
 * @param id The identifier of the caller's attempt.
 * @param host The host without a port.
 * @param path The path without a query.
 * @param deadlineMillis The time for which the caller waits, in milliseconds, if it said so.
 * @param apiKey The caller's key, if it presented one.
 * @param prompt The prompt of a model request, if the caller described it.
 * @param lastEventId The last event that the caller received of a stream it continues, if any.
 */
public record GatewayRequest(
        String id,
        String host,
        String path,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        Optional<Prompt> prompt,
        Optional<String> lastEventId) {

    /** Checks the identifier. */
    public GatewayRequest {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("Request has an empty identifier");
        }
    }
}
