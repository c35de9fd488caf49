package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Judges endpoints by what happened to own requests. An endpoint that breaks connections is avoided
 * for a time that doubles with each failure in a row; one that fails more of its requests than the
 * others is avoided in favour of them. It is confined to one thread.
 */
public final class EndpointHealth {

    /** The first time for which a broken endpoint is avoided, in milliseconds: one connect time. */
    private static final long FIRST_AVOIDANCE_MILLIS = 250;

    /** The longest time for which a broken endpoint is avoided, in milliseconds. */
    private static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

    /** The most doublings, so that the shift does not overflow. */
    private static final int MAXIMUM_DOUBLINGS = 10;

    /** The weight of the newest outcome in the mean failure rate. */
    private static final double NEWEST_WEIGHT = 0.15;

    /** The state by incarnation. */
    private final Map<String, State> states = new HashMap<>();

    /**
     * Takes note of an answer.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param success Whether the endpoint did what was asked.
     */
    public void answered(String incarnation, boolean success) {
        State state = state(incarnation);
        states.put(
                incarnation,
                new State(
                        0,
                        0,
                        state.failureRate()
                                + NEWEST_WEIGHT * ((success ? 0 : 1) - state.failureRate())));
    }

    /**
     * Takes note of a connection that could not be made, broke, or stayed silent.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void broke(String incarnation, long nowMillis) {
        State state = state(incarnation);
        long avoidance =
                Math.min(
                        LONGEST_AVOIDANCE_MILLIS,
                        FIRST_AVOIDANCE_MILLIS << Math.min(MAXIMUM_DOUBLINGS, state.failures()));
        states.put(
                incarnation,
                new State(
                        state.failures() + 1,
                        nowMillis + avoidance,
                        state.failureRate() + NEWEST_WEIGHT * (1 - state.failureRate())));
    }

    /**
     * Returns {@code true} if an endpoint should be avoided.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the endpoint should be avoided.
     */
    public boolean isBroken(String incarnation, long nowMillis) {
        return nowMillis < state(incarnation).avoidUntilMillis();
    }

    /**
     * Returns the share of the latest requests that failed.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return The share, from zero to one.
     */
    public double failureRate(String incarnation) {
        return state(incarnation).failureRate();
    }

    /**
     * Returns the state of an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return The state.
     */
    private State state(String incarnation) {
        return states.getOrDefault(incarnation, State.SOUND);
    }

    /**
     * Holds what is known of an endpoint.
     *
     * @param failures The failures in a row.
     * @param avoidUntilMillis The time until which the endpoint is avoided, in milliseconds.
     * @param failureRate The share of the latest requests that failed.
     */
    private record State(int failures, long avoidUntilMillis, double failureRate) {

        /** An endpoint that never failed. */
        private static final State SOUND = new State(0, 0, 0);
    }
}
