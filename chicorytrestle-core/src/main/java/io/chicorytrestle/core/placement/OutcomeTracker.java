package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the failure rate of each endpoint from the outcomes that all instances of the own
 * availability zone observe. This detects endpoints that fail part of their requests for seconds
 * while they still accept connections: a single instance sends each of them too few requests to
 * notice in time. Other zones are left out, since an endpoint may fail the callers of one zone
 * only. This class is not thread-safe: it is confined to one thread.
 */
public final class OutcomeTracker {

    /**
     * The time constant of the exponential decay in milliseconds, after which an outcome counts
     * about a third: long enough for a zone to send an endpoint several requests.
     */
    private static final double DECAY_MILLIS = 4_000;

    /**
     * The successes that are assumed in advance, so that a single failure does not dominate the
     * estimate.
     */
    private static final double PRIOR_SUCCESSES = 4;

    /** The decayed number of requests below which outcomes are removed. */
    private static final double NEGLIGIBLE_COUNT = 0.1;

    /** The outcomes that this instance observed by incarnation of the endpoint. */
    private final Map<String, DecayingOutcomes> ownOutcomes = new HashMap<>();

    /**
     * The outcomes that other instances reported by name of the instance and incarnation of the
     * endpoint.
     */
    private final Map<String, Map<String, DecayingOutcomes>> peerOutcomes = new HashMap<>();

    /** The incarnations of endpoints for which any current outcome is a failure. */
    private final Set<String> failingIncarnations = new HashSet<>();

    /**
     * Records the outcome of a request.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param isSuccess Whether the endpoint executed the request successfully.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordOutcome(String incarnation, boolean isSuccess, long nowMillis) {
        Outcomes one = new Outcomes(1, isSuccess ? 0 : 1);
        Outcomes previous =
                ownOutcomes.getOrDefault(incarnation, DecayingOutcomes.NONE).decayedAt(nowMillis);
        ownOutcomes.put(incarnation, new DecayingOutcomes(previous.plus(one), nowMillis));
        if (!isSuccess) {
            failingIncarnations.add(incarnation);
        }
    }

    /**
     * Returns the decayed outcomes that this instance observed, for its messages to peers.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The outcomes by incarnation of the endpoint.
     */
    public Map<String, Outcomes> ownOutcomes(long nowMillis) {
        Map<String, Outcomes> current = new HashMap<>();
        ownOutcomes.forEach(
                (incarnation, decaying) -> current.put(incarnation, decaying.decayedAt(nowMillis)));
        return current;
    }

    /**
     * Records the outcomes that another instance of the zone reported, which replace its earlier
     * ones.
     *
     * @param peer The name of the instance.
     * @param outcomes The outcomes by incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordPeerOutcomes(String peer, Map<String, Outcomes> outcomes, long nowMillis) {
        Map<String, DecayingOutcomes> decaying = new HashMap<>();
        outcomes.forEach(
                (incarnation, reported) -> {
                    decaying.put(incarnation, new DecayingOutcomes(reported, nowMillis));
                    if (reported.failed() > 0) {
                        failingIncarnations.add(incarnation);
                    }
                });
        peerOutcomes.put(peer, decaying);
    }

    /**
     * Estimates the share of requests that fail at an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The share, from zero to one, which tends to zero if few requests ended lately.
     */
    public double failureRate(String incarnation, long nowMillis) {
        if (!failingIncarnations.contains(incarnation)) {
            return 0;
        }
        Outcomes sum =
                ownOutcomes.getOrDefault(incarnation, DecayingOutcomes.NONE).decayedAt(nowMillis);
        for (Map<String, DecayingOutcomes> reported : peerOutcomes.values()) {
            sum =
                    sum.plus(
                            reported.getOrDefault(incarnation, DecayingOutcomes.NONE)
                                    .decayedAt(nowMillis));
        }
        return sum.failed() / (sum.ended() + PRIOR_SUCCESSES);
    }

    /**
     * Removes outcomes that have decayed to a negligible count. Called periodically to bound
     * memory.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeNegligible(long nowMillis) {
        ownOutcomes
                .values()
                .removeIf(decaying -> decaying.decayedAt(nowMillis).ended() < NEGLIGIBLE_COUNT);
        peerOutcomes
                .values()
                .forEach(
                        reported ->
                                reported.values()
                                        .removeIf(
                                                decaying ->
                                                        decaying.decayedAt(nowMillis).ended()
                                                                < NEGLIGIBLE_COUNT));
        peerOutcomes.values().removeIf(Map::isEmpty);
        failingIncarnations.clear();
        collectFailing(ownOutcomes);
        peerOutcomes.values().forEach(this::collectFailing);
    }

    /**
     * Adds the endpoints with failures to those that are failing.
     *
     * @param outcomes The outcomes by incarnation of the endpoint.
     */
    private void collectFailing(Map<String, DecayingOutcomes> outcomes) {
        outcomes.forEach(
                (incarnation, decaying) -> {
                    if (decaying.outcomes().failed() > 0) {
                        failingIncarnations.add(incarnation);
                    }
                });
    }

    /**
     * Holds outcomes with the time as of which they are counted.
     *
     * @param outcomes The outcomes as of that time.
     * @param atMillis The time in milliseconds.
     */
    private record DecayingOutcomes(Outcomes outcomes, long atMillis) {

        /** No outcomes. */
        private static final DecayingOutcomes NONE = new DecayingOutcomes(Outcomes.NONE, 0);

        /**
         * Returns the outcomes decayed to a later time.
         *
         * @param nowMillis The current time in milliseconds.
         * @return The decayed outcomes.
         */
        private Outcomes decayedAt(long nowMillis) {
            return outcomes.scaledBy(Math.exp((atMillis - nowMillis) / DECAY_MILLIS));
        }
    }
}
