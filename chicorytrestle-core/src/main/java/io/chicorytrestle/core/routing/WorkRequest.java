package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.Optional;
import java.util.Set;

/**
 * Asks for an endpoint to run a piece of work on.
 *
 * @param requestId The identifier of the request, unique over the fleet.
 * @param chat The chat that the work belongs to, or a key of its own for a plain call.
 * @param pool The pool that can run the work.
 * @param promptTokens The tokens of the prompt; zero for a plain call.
 * @param maximumTokens The most tokens to generate; zero for a plain call.
 * @param deadlineMillis The time by which the work has to be started, in milliseconds.
 * @param encodedPlacementToken The placement token that the caller presented, still encoded, or
 *     empty.
 * @param excludedEndpoints The names of endpoints that must not be chosen, such as those that
 *     failed this request already.
 */
public record WorkRequest(
        String requestId,
        ChatKey chat,
        String pool,
        int promptTokens,
        int maximumTokens,
        long deadlineMillis,
        Optional<String> encodedPlacementToken,
        Set<String> excludedEndpoints) {

    /** Creates a new request. */
    public WorkRequest {
        excludedEndpoints = Set.copyOf(excludedEndpoints);
    }
}
