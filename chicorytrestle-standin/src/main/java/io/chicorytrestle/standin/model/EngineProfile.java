package io.chicorytrestle.standin.model;

/**
 * The capacity and speed of a simulated engine.
 *
 * @param batchSlots The number of requests that run concurrently in the batch.
 * @param prefillTokensPerSecond The prompt tokens a second that a request processes when no other
 *     is running.
 * @param decodeTokensPerSecond The tokens a second that a request generates when no other is
 *     running; in a full batch each request gets about half of that.
 * @param cacheTokens The capacity of the prefix cache in tokens.
 * @param queueSlots The number of requests that may wait for a batch slot.
 */
public record EngineProfile(
        int batchSlots,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        int cacheTokens,
        int queueSlots) {

    /** The profile of a small engine. */
    public static final EngineProfile DEFAULT = new EngineProfile(8, 8_000, 100, 200_000, 64);

    /**
     * Creates a new profile.
     *
     * @throws IllegalArgumentException If a value is negative, or a rate or the slots are zero.
     */
    public EngineProfile {
        if (batchSlots < 1 || prefillTokensPerSecond < 1 || decodeTokensPerSecond < 1) {
            throw new IllegalArgumentException(
                    "Cannot use profile without slots or rates: slots %d, prefill %d, decode %d"
                            .formatted(batchSlots, prefillTokensPerSecond, decodeTokensPerSecond));
        }
        if (cacheTokens < 0 || queueSlots < 0) {
            throw new IllegalArgumentException(
                    "Cannot use negative profile: cacheTokens %d, queueSlots %d"
                            .formatted(cacheTokens, queueSlots));
        }
    }

    /**
     * Returns the speed of each request in a batch, relative to a request that runs alone.
     *
     * @param running The number of requests in the batch.
     * @return One for a single request, about one half for each request of a full batch.
     */
    double relativeSpeed(int running) {
        return 1d / (1d + (double) Math.max(0, running - 1) / batchSlots);
    }
}
