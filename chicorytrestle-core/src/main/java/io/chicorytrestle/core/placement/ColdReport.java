package io.chicorytrestle.core.placement;

/**
 * States for how long an endpoint stays cold, as its entry in the store said.
 *
 * @param incarnation The incarnation of the endpoint.
 * @param revision The store's revision at which the entry was written.
 * @param leftMillis The time in milliseconds for which it stays cold, zero if it is warm; a longer
 *     time than {@link #MAXIMUM_LEFT_MILLIS} is shortened to it.
 */
public record ColdReport(String incarnation, long revision, long leftMillis) {

    /** The longest time in milliseconds for which a report holds. */
    public static final long MAXIMUM_LEFT_MILLIS = 600_000;

    /** Rejects a negative revision and brings the time into its range. */
    public ColdReport {
        if (revision < 0) {
            throw new IllegalArgumentException(
                    "Revision of " + incarnation + " is negative: " + revision);
        }
        leftMillis = Math.max(0, Math.min(MAXIMUM_LEFT_MILLIS, leftMillis));
    }
}
