package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.fleet.StorePosition;

/**
 * States for how long an endpoint stays cold, as its entry in the store said.
 *
 * @param incarnation The incarnation of the endpoint.
 * @param position The store's position at which the entry was written.
 * @param leftMillis The time in milliseconds for which it stays cold, zero if it is warm; a longer
 *     time than {@link #MAXIMUM_LEFT_MILLIS} is shortened to it.
 */
public record ColdReport(String incarnation, StorePosition position, long leftMillis) {

    /** The longest time in milliseconds for which a report holds. */
    public static final long MAXIMUM_LEFT_MILLIS = 600_000;

    /** Brings the time into its range. */
    public ColdReport {
        leftMillis = Math.max(0, Math.min(MAXIMUM_LEFT_MILLIS, leftMillis));
    }
}
