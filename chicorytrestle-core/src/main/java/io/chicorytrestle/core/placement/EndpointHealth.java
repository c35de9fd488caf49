package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Evaluates endpoints by their connections to this instance. An endpoint whose connections fail is
 * avoided for a time that doubles with each consecutive failure. This class is not thread-safe: it
 * is confined to one thread.
 */
public final class EndpointHealth {

    /**
     * The time in milliseconds for which an endpoint is avoided after its first failure: the
     * duration of one connection attempt.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 250;

    /** The longest time in milliseconds for which an endpoint is avoided. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 4_000;

    /** The maximum number of doublings, which keeps the shift from overflowing. */
    private static final int MAXIMUM_DOUBLINGS = 10;

    /**
     * The time in milliseconds after the end of the back-off at which earlier failures are
     * forgotten, so that the next one counts as the first.
     */
    private static final long FAILURE_RETENTION_MILLIS = 60_000;

    /** The state by incarnation; an endpoint without recent failures has none. */
    private final Map<String, State> states = new HashMap<>();

    /**
     * Records an answer, which resets the count of consecutive failures.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void recordAnswer(String incarnation) {
        states.remove(incarnation);
    }

    /**
     * Records a connection that could not be opened or that broke.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordConnectionFailure(String incarnation, long nowMillis) {
        int failures = states.getOrDefault(incarnation, State.HEALTHY).consecutiveFailures();
        long backoffMillis =
                Math.min(
                        MAXIMUM_BACKOFF_MILLIS,
                        INITIAL_BACKOFF_MILLIS << Math.min(MAXIMUM_DOUBLINGS, failures));
        states.put(incarnation, new State(failures + 1, nowMillis + backoffMillis));
    }

    /**
     * Returns {@code true} while the back-off of an endpoint lasts.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the endpoint should be avoided.
     */
    public boolean isAvoided(String incarnation, long nowMillis) {
        return nowMillis < states.getOrDefault(incarnation, State.HEALTHY).avoidUntilMillis();
    }

    /**
     * Removes the states whose failures are too old to count. Called periodically to bound memory.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        states.values()
                .removeIf(state -> nowMillis - state.avoidUntilMillis() > FAILURE_RETENTION_MILLIS);
    }

    /**
     * Holds the recent connection failures of an endpoint.
     *
     * @param consecutiveFailures The number of consecutive failures.
     * @param avoidUntilMillis The time until which the endpoint is avoided, in milliseconds.
     */
    private record State(int consecutiveFailures, long avoidUntilMillis) {

        /** The state of an endpoint without failures. */
        private static final State HEALTHY = new State(0, Long.MIN_VALUE / 2);
    }
}
