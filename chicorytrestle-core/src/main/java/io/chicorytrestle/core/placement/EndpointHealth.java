package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Judges endpoints by their connections to this instance. An endpoint that breaks connections is
 * avoided for a time that doubles with each failure in a row. It is confined to one thread.
 */
public final class EndpointHealth {

    /** The first time for which a broken endpoint is avoided, in milliseconds: one connect time. */
    private static final long INITIAL_BACKOFF_MILLIS = 250;

    /** The longest time for which a broken endpoint is avoided, in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 4_000;

    /** The most doublings, so that the shift does not overflow. */
    private static final int MAXIMUM_DOUBLINGS = 10;

    /** The time in milliseconds after which a failure no longer counts as one in a row. */
    private static final long FAILURE_RETENTION_MILLIS = 60_000;

    /** The state by incarnation. */
    private final Map<String, State> states = new HashMap<>();

    /**
     * Takes note of an answer.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void recordAnswer(String incarnation) {
        states.remove(incarnation);
    }

    /**
     * Takes note of a connection that could not be made or broke.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordConnectionFailure(String incarnation, long nowMillis) {
        int failures = states.getOrDefault(incarnation, State.HEALTHY).consecutiveFailures();
        long avoidance =
                Math.min(
                        MAXIMUM_BACKOFF_MILLIS,
                        INITIAL_BACKOFF_MILLIS << Math.min(MAXIMUM_DOUBLINGS, failures));
        states.put(incarnation, new State(failures + 1, nowMillis + avoidance));
    }

    /**
     * Returns {@code true} if an endpoint should be avoided.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the endpoint should be avoided.
     */
    public boolean isAvoided(String incarnation, long nowMillis) {
        return nowMillis < states.getOrDefault(incarnation, State.HEALTHY).avoidUntilMillis();
    }

    /**
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        states.values()
                .removeIf(state -> nowMillis - state.avoidUntilMillis() > FAILURE_RETENTION_MILLIS);
    }

    /**
     * Holds what is known of an endpoint.
     *
     * @param consecutiveFailures The failures in a row.
     * @param avoidUntilMillis The time until which the endpoint is avoided, in milliseconds.
     */
    private record State(int consecutiveFailures, long avoidUntilMillis) {

        /** An endpoint that never failed. */
        private static final State HEALTHY = new State(0, Long.MIN_VALUE / 2);
    }
}
