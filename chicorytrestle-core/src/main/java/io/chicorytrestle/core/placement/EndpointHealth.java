package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Judges endpoints by their connections to this instance. An endpoint that breaks connections is
 * avoided for a time that doubles with each failure in a row. It is confined to one thread.
 */
public final class EndpointHealth {

    /** The first time for which a broken endpoint is avoided, in milliseconds: one connect time. */
    private static final long FIRST_AVOIDANCE_MILLIS = 250;

    /** The longest time for which a broken endpoint is avoided, in milliseconds. */
    private static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

    /** The most doublings, so that the shift does not overflow. */
    private static final int MAXIMUM_DOUBLINGS = 10;

    /** The time in milliseconds after which a failure no longer counts as one in a row. */
    private static final long MEMORY_MILLIS = 60_000;

    /** The state by incarnation. */
    private final Map<String, State> states = new HashMap<>();

    /**
     * Takes note of an answer.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void answered(String incarnation) {
        states.remove(incarnation);
    }

    /**
     * Takes note of a connection that could not be made or broke.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void broke(String incarnation, long nowMillis) {
        int failures = states.getOrDefault(incarnation, State.SOUND).failures();
        long avoidance =
                Math.min(
                        LONGEST_AVOIDANCE_MILLIS,
                        FIRST_AVOIDANCE_MILLIS << Math.min(MAXIMUM_DOUBLINGS, failures));
        states.put(incarnation, new State(failures + 1, nowMillis + avoidance));
    }

    /**
     * Returns {@code true} if an endpoint should be avoided.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the endpoint should be avoided.
     */
    public boolean isBroken(String incarnation, long nowMillis) {
        return nowMillis < states.getOrDefault(incarnation, State.SOUND).avoidUntilMillis();
    }

    /**
     * Forgets what is old.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void expire(long nowMillis) {
        states.values().removeIf(state -> nowMillis - state.avoidUntilMillis() > MEMORY_MILLIS);
    }

    /**
     * Holds what is known of an endpoint.
     *
     * @param failures The failures in a row.
     * @param avoidUntilMillis The time until which the endpoint is avoided, in milliseconds.
     */
    private record State(int failures, long avoidUntilMillis) {

        /** An endpoint that never failed. */
        private static final State SOUND = new State(0, Long.MIN_VALUE / 2);
    }
}
