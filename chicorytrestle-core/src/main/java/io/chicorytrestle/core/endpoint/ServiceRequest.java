package io.chicorytrestle.core.endpoint;

import java.util.Optional;

/**
 * Requests a plain service to execute an operation.
 *
 * @param requestId The identifier of the attempt, unique in the fleet.
 * @param operation The name of the operation.
 * @param body The request body, which is passed on unread.
 * @param idempotencyKey The key to send to a service that deduplicates calls by idempotency key, or
 *     empty.
 * @param deadlineMillis The deadline of the request, in milliseconds.
 * @param idempotent {@code true} if the operation is a look-up without side effects, whose body is
 *     the query.
 */
public record ServiceRequest(
        String requestId,
        String operation,
        String body,
        Optional<String> idempotencyKey,
        long deadlineMillis,
        boolean idempotent) {

    /**
     * Creates a new request that is not idempotent.
     *
     * @param requestId The identifier of the attempt, unique in the fleet.
     * @param operation The name of the operation.
     * @param body The request body, which is passed on unread.
     * @param idempotencyKey The key to send to a service that deduplicates calls by idempotency
     *     key, or empty.
     * @param deadlineMillis The deadline of the request, in milliseconds.
     */
    public ServiceRequest(
            String requestId,
            String operation,
            String body,
            Optional<String> idempotencyKey,
            long deadlineMillis) {
        this(requestId, operation, body, idempotencyKey, deadlineMillis, false);
    }
}
