package io.chicorytrestle.standin.model;

/**
 * Describes how much an engine can do.
 *
 * @param batchSlots The requests that run at the same time.
 * @param prefillTokensPerSecond The prompt tokens that a request alone gets through in a second.
 * @param decodeTokensPerSecond The tokens that a request alone generates in a second; in a full
 *     batch each request gets about half.
 * @param cacheTokens The tokens that the prefix cache holds.
 * @param queueSlots The requests that may wait for a slot.
 */
public record EngineProfile(
        int batchSlots,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        int cacheTokens,
        int queueSlots) {

    /** A small engine. */
    public static final EngineProfile DEFAULT = new EngineProfile(8, 8_000, 100, 200_000, 64);

    /**
     * Creates a new profile.
     *
     * @throws IllegalArgumentException If a value is negative, or a rate or the slots are zero.
     */
    public EngineProfile {
        if (batchSlots < 1 || prefillTokensPerSecond < 1 || decodeTokensPerSecond < 1) {
            throw new IllegalArgumentException(
                    "Cannot use profile without slots or rates: %d, %d, %d"
                            .formatted(batchSlots, prefillTokensPerSecond, decodeTokensPerSecond));
        }
        if (cacheTokens < 0 || queueSlots < 0) {
            throw new IllegalArgumentException(
                    "Cannot use negative profile: %d, %d".formatted(cacheTokens, queueSlots));
        }
    }

    /**
     * Returns the share of a lone request's speed that each request of a batch gets.
     *
     * @param running The requests in the batch.
     * @return One for a lone request, falling to about a half for a full batch.
     */
    double relativeSpeed(int running) {
        return 1d / (1d + (double) Math.max(0, running - 1) / batchSlots);
    }
}
