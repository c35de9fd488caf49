package io.chicorytrestle.core.route;

/**
 * Describes what each model engine of a service offers.
 *
 * @param slots The requests that an engine batches.
 * @param cacheTokens The tokens that fit into the KV cache of an engine.
 * @param cacheBytesPerToken The bytes of a token in the KV cache.
 * @param maximumListeners The most callers that may wait for cache events of one engine.
 */
public record EngineLimits(
        int slots, long cacheTokens, long cacheBytesPerToken, int maximumListeners) {

    /** Checks the bounds. */
    public EngineLimits {
        if (slots <= 0) {
            throw new IllegalArgumentException("Engine has no slots: " + slots);
        }
    }
}
