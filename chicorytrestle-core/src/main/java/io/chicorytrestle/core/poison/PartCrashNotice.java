package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.placement.BoundedIdentifier;
import java.util.List;

/**
 * Reports the endpoints that crashed while they executed requests with a prompt part.
 *
 * @param part The identifier of the part; a digest if it is long.
 * @param incarnations The incarnations of the endpoints; empty if a request with the part has
 *     completed since.
 * @param otherCompletions The number of requests without the part that completed at one instance
 *     since the first crash, at least zero.
 * @param ageMillis The time in milliseconds since the last change, at least zero.
 */
public record PartCrashNotice(
        String part, List<String> incarnations, int otherCompletions, long ageMillis) {

    /**
     * Bounds the length of the identifier, copies the incarnations and rejects negative numbers.
     */
    public PartCrashNotice {
        part = BoundedIdentifier.of(part);
        incarnations = List.copyOf(incarnations);
        if (otherCompletions < 0) {
            throw new IllegalArgumentException(
                    "Number of completions is negative: " + otherCompletions);
        }
        if (ageMillis < 0) {
            throw new IllegalArgumentException("Age of a change is negative: " + ageMillis);
        }
    }

    /**
     * Creates a notice of a recent change.
     *
     * @param part The identifier of the part.
     * @param incarnations The incarnations of the endpoints; empty if a request with the part has
     *     completed since.
     * @param otherCompletions The number of requests without the part that completed at one
     *     instance since the first crash, at least zero.
     */
    public PartCrashNotice(String part, List<String> incarnations, int otherCompletions) {
        this(part, incarnations, otherCompletions, 0);
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
