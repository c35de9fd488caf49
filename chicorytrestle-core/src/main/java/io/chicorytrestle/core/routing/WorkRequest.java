package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.ChatKey;
import java.util.Optional;
import java.util.Set;

/**
 * A request for an endpoint to run a piece of work on.
 *
 * @param requestId The identifier of the request, unique in the fleet.
 * @param chat The chat that the work belongs to, or a unique key for a plain call.
 * @param pool The pool that can run the work.
 * @param promptTokens The tokens of the prompt; zero for a plain call.
 * @param maximumTokens The maximum number of tokens to generate; zero for a plain call.
 * @param deadlineMillis The time by which the work must start, in milliseconds.
 * @param encodedPlacementToken The encoded placement token from the caller, or empty.
 * @param excludedEndpoints The names of endpoints that must not be chosen, such as those on which
 *     this request already failed.
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

    /** Copies the set of excluded endpoints. */
    public WorkRequest {
        excludedEndpoints = Set.copyOf(excludedEndpoints);
    }
}
