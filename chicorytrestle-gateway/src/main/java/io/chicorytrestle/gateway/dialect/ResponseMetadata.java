package io.chicorytrestle.gateway.dialect;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Holds what the headers of an endpoint's response state besides the status.
 *
 * @param requestId The identifier of the request to which it responds, if present.
 * @param isSealed Whether the response carries the endpoint's seal, which shows that the endpoint
 *     itself created it.
 * @param isNotExecuted Whether the endpoint states that it did not execute the request.
 * @param isLeaving Whether the endpoint states that it finishes its work and accepts no more.
 * @param retryAfterMillis The time in milliseconds for which the endpoint wants no requests, if
 *     stated.
 * @param load The number of requests that run or wait at the endpoint, if reported.
 * @param keepAliveMillis The time in milliseconds after which the endpoint closes an idle
 *     connection, if stated.
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean isSealed,
        boolean isNotExecuted,
        boolean isLeaving,
        OptionalLong retryAfterMillis,
        OptionalInt load,
        OptionalLong keepAliveMillis) {

    /** Checks that the load is not negative. */
    public ResponseMetadata {
        if (load.isPresent() && load.getAsInt() < 0) {
            throw new IllegalArgumentException("Load is negative: " + load.getAsInt());
        }
    }
}
