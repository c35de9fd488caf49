package io.chicorytrestle.core.route;

/**
 * Describes the capacity of each model engine of a service.
 *
 * @param slots The maximum number of requests in an engine's batch, at least one.
 * @param cacheTokens The number of tokens that fit into the KV cache of an engine.
 * @param cacheBytesPerToken The size of a token in the KV cache in bytes.
 * @param maximumListeners The maximum number of clients that may wait for the cache events of one
 *     engine.
 */
public record EngineLimits(
        int slots, long cacheTokens, long cacheBytesPerToken, int maximumListeners) {

    /** Rejects a number of slots that is not positive. */
    public EngineLimits {
        if (slots <= 0) {
            throw new IllegalArgumentException("Engine must have at least one slot: " + slots);
        }
    }
}
