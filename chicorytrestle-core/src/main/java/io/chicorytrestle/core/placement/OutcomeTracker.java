package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the share of requests that an endpoint fails, from the outcomes at all instances of the
 * own availability zone. It answers endpoints that fail part of their requests for seconds while
 * they accept connections: one instance alone sends each of them too little to notice in time.
 * Other zones are left out, since an endpoint may fail the callers of one zone only. It is confined
 * to one thread.
 */
public final class OutcomeTracker {

    /** The time in milliseconds after which an outcome counts a third: some requests a zone. */
    private static final double DECAY_MILLIS = 4_000;

    /** The successes that are assumed beforehand, so that one failure is no judgement. */
    private static final double PRIOR_SUCCESSES = 4;

    /** The count below which outcomes are forgotten. */
    private static final double NEGLIGIBLE_COUNT = 0.1;

    /** The outcomes at this instance by incarnation of the endpoint. */
    private final Map<String, DecayingOutcomes> ownOutcomes = new HashMap<>();

    /** The outcomes at other instances by name and incarnation of the endpoint. */
    private final Map<String, Map<String, DecayingOutcomes>> peerOutcomes = new HashMap<>();

    /**
     * Takes note of a request that ended.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param isSuccess Whether the endpoint did what was asked.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordOutcome(String incarnation, boolean isSuccess, long nowMillis) {
        Outcomes one = new Outcomes(1, isSuccess ? 0 : 1);
        Outcomes before =
                ownOutcomes.getOrDefault(incarnation, DecayingOutcomes.NONE).decayedAt(nowMillis);
        ownOutcomes.put(incarnation, new DecayingOutcomes(before.plus(one), nowMillis));
    }

    /**
     * Returns the outcomes at this instance.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The outcomes by incarnation of the endpoint.
     */
    public Map<String, Outcomes> ownOutcomes(long nowMillis) {
        Map<String, Outcomes> present = new HashMap<>();
        ownOutcomes.forEach(
                (incarnation, dated) -> present.put(incarnation, dated.decayedAt(nowMillis)));
        return present;
    }

    /**
     * Takes the outcomes at another instance of the zone in place of its earlier ones.
     *
     * @param peer The name of the instance.
     * @param outcomes The outcomes by incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordPeerOutcomes(String peer, Map<String, Outcomes> outcomes, long nowMillis) {
        Map<String, DecayingOutcomes> dated = new HashMap<>();
        outcomes.forEach(
                (incarnation, told) ->
                        dated.put(incarnation, new DecayingOutcomes(told, nowMillis)));
        peerOutcomes.put(peer, dated);
    }

    /**
     * Estimates the share of requests that an endpoint fails.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The share, from zero to one, the lower the fewer requests ended lately.
     */
    public double failureRate(String incarnation, long nowMillis) {
        Outcomes sum =
                ownOutcomes.getOrDefault(incarnation, DecayingOutcomes.NONE).decayedAt(nowMillis);
        for (Map<String, DecayingOutcomes> told : peerOutcomes.values()) {
            sum =
                    sum.plus(
                            told.getOrDefault(incarnation, DecayingOutcomes.NONE)
                                    .decayedAt(nowMillis));
        }
        return sum.failed() / (sum.ended() + PRIOR_SUCCESSES);
    }

    /**
     * Forgets what hardly counts any more.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void removeNegligible(long nowMillis) {
        ownOutcomes
                .values()
                .removeIf(dated -> dated.decayedAt(nowMillis).ended() < NEGLIGIBLE_COUNT);
        peerOutcomes
                .values()
                .forEach(
                        told ->
                                told.values()
                                        .removeIf(
                                                dated ->
                                                        dated.decayedAt(nowMillis).ended()
                                                                < NEGLIGIBLE_COUNT));
        peerOutcomes.values().removeIf(Map::isEmpty);
    }

    /**
     * Holds outcomes as they counted at some time.
     *
     * @param outcomes The outcomes.
     * @param atMillis The time in milliseconds.
     */
    private record DecayingOutcomes(Outcomes outcomes, long atMillis) {

        /** No requests at any time. */
        private static final DecayingOutcomes NONE = new DecayingOutcomes(Outcomes.NONE, 0);

        /**
         * Returns the outcomes as they count now.
         *
         * @param nowMillis The present time in milliseconds.
         * @return The outcomes.
         */
        private Outcomes decayedAt(long nowMillis) {
            return outcomes.scaledBy(Math.exp((atMillis - nowMillis) / DECAY_MILLIS));
        }
    }
}
