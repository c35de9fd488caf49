package io.chicorytrestle.gateway.dialect;

import io.chicorytrestle.core.placement.Placement;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Holds the values that the gateway sends to an endpoint in headers.
 *
 * @param placement The endpoint, and where it can fetch cached prompt parts.
 * @param remainingMillis The time until the deadline in milliseconds, above zero.
 * @param workspace The name of the caller's workspace, or empty if it has none.
 * @param priorityRank The priority, zero being the most urgent, or empty to send none.
 * @param lastEventId The last event that the caller received, if a stream is resumed.
 */
public record EndpointHeaders(
        Placement placement,
        long remainingMillis,
        Optional<String> workspace,
        OptionalInt priorityRank,
        Optional<String> lastEventId) {

    /** Checks that time remains. */
    public EndpointHeaders {
        if (remainingMillis <= 0) {
            throw new IllegalArgumentException(
                    "Remaining time is not positive: " + remainingMillis);
        }
    }
}
