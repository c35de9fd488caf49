package io.chicorytrestle.core.call;

import java.util.Optional;

/**
 * Requests the execution of an operation by a plain service.
 *
 * @param requestId The identifier of the request, unique in the fleet.
 * @param workspace The workspace that makes the call.
 * @param pool The pool of plain services.
 * @param operation The name of the operation.
 * @param body The request body, which is passed on unread.
 * @param idempotent {@code true} if executing the operation more than once has the same effect as
 *     executing it once.
 * @param ticket The encoded ticket that pins the call to the process that issued it, or empty.
 * @param idempotencyKey The caller's key, or empty.
 * @param deadlineMillis The deadline of the call, in milliseconds.
 */
public record ServiceCall(
        String requestId,
        String workspace,
        String pool,
        String operation,
        String body,
        boolean idempotent,
        Optional<String> ticket,
        Optional<String> idempotencyKey,
        long deadlineMillis) {}
