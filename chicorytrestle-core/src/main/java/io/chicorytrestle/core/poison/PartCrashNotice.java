package io.chicorytrestle.core.poison;

import java.util.List;

/**
 * Reports the endpoints that crashed while they executed requests with a prompt part.
 *
 * @param part The identifier of the part.
 * @param incarnations The incarnations of the endpoints; empty if a request with the part has
 *     completed since.
 * @param otherCompletions The number of requests without the part that completed at one instance
 *     since the first crash, at least zero.
 */
public record PartCrashNotice(String part, List<String> incarnations, int otherCompletions) {

    /** Copies the incarnations and rejects a negative number. */
    public PartCrashNotice {
        incarnations = List.copyOf(incarnations);
        if (otherCompletions < 0) {
            throw new IllegalArgumentException(
                    "Number of completions is negative: " + otherCompletions);
        }
    }

    /**
     * Returns {@code true} if a request with the part has completed since the last crash.
     *
     * @return {@code true} if the notice names no incarnation.
     */
    boolean isCleared() {
        return incarnations.isEmpty();
    }
}
