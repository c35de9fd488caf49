package io.chicorytrestle.core.route;

/**
 * Describes how an endpoint of a service behaves after its start, while it is cold.
 *
 * @param durationMillis The time in milliseconds for which an endpoint is cold after its start.
 * @param requestsPerSecond The number of requests per second that a cold endpoint tolerates.
 */
public record WarmUp(long durationMillis, double requestsPerSecond) {

    /** Rejects values that are negative or not numbers. */
    public WarmUp {
        if (durationMillis < 0 || !(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "Warm-up time and rate must not be negative: "
                            + durationMillis
                            + ", "
                            + requestsPerSecond);
        }
    }
}
