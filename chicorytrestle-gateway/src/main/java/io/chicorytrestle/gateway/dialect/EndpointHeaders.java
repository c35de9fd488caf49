package io.chicorytrestle.gateway.dialect;

import io.chicorytrestle.core.placement.Placement;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Holds what an endpoint is told with a request.
 *
 * @param placement The endpoint and where it can fetch cached parts.
 * @param remainingMillis The time left in milliseconds.
 * @param workspace The name of the caller's workspace, if it has one.
 * @param priorityRank The urgency, zero being the most urgent, or empty to send none.
 * @param lastEventId The last event that the caller has, if a stream is continued.
 */
public record EndpointHeaders(
        Placement placement,
        long remainingMillis,
        Optional<String> workspace,
        OptionalInt priorityRank,
        Optional<String> lastEventId) {

    /** Checks the time. */
    public EndpointHeaders {
        if (remainingMillis <= 0) {
            throw new IllegalArgumentException("No time is left: " + remainingMillis);
        }
    }
}
