package io.chicorytrestle.core.call;

/**
 * Holds the outcome of an executed call.
 *
 * @param status The status code of the plain service's response, as in HTTP.
 * @param body The complete response body.
 * @param replayed {@code true} if this is the stored outcome of an earlier call with the same
 *     ticket.
 */
public record CallOutcome(int status, String body, boolean replayed) {}
