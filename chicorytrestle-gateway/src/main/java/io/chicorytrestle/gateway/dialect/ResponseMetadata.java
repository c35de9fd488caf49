package io.chicorytrestle.gateway.dialect;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Holds what the head of an endpoint's answer says beside its status.
 *
 * @param requestId The identifier of the request that it answers, if named.
 * @param isSealed Whether the endpoint vouches for the answer.
 * @param isNotExecuted Whether the endpoint states that it did not run the request.
 * @param load The requests that run or wait at the endpoint, if it reports them.
 * @param keepAliveMillis The time for which it keeps an idle connection, in milliseconds, if
 *     stated.
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean isSealed,
        boolean isNotExecuted,
        OptionalInt load,
        OptionalLong keepAliveMillis) {

    /** Checks the load. */
    public ResponseMetadata {
        if (load.isPresent() && load.getAsInt() < 0) {
            throw new IllegalArgumentException("Load is negative: " + load.getAsInt());
        }
    }
}
