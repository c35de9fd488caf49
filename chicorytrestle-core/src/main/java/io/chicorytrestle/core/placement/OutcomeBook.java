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
public final class OutcomeBook {

    /** The time in milliseconds after which an outcome counts a third: some requests a zone. */
    private static final double DECAY_MILLIS = 4_000;

    /** The successes that are assumed beforehand, so that one failure is no judgement. */
    private static final double ASSUMED_SUCCESSES = 4;

    /** The count below which outcomes are forgotten. */
    private static final double NEGLIGIBLE = 0.1;

    /** The outcomes at this instance by incarnation of the endpoint. */
    private final Map<String, Dated> own = new HashMap<>();

    /** The outcomes at other instances by name and incarnation of the endpoint. */
    private final Map<String, Map<String, Dated>> peers = new HashMap<>();

    /**
     * Takes note of a request that ended.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param isSuccess Whether the endpoint did what was asked.
     * @param nowMillis The present time in milliseconds.
     */
    public void ended(String incarnation, boolean isSuccess, long nowMillis) {
        Outcomes one = new Outcomes(1, isSuccess ? 0 : 1);
        Outcomes before = own.getOrDefault(incarnation, Dated.NONE).at(nowMillis);
        own.put(incarnation, new Dated(before.with(one), nowMillis));
    }

    /**
     * Returns the outcomes at this instance.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The outcomes by incarnation of the endpoint.
     */
    public Map<String, Outcomes> own(long nowMillis) {
        Map<String, Outcomes> present = new HashMap<>();
        own.forEach((incarnation, dated) -> present.put(incarnation, dated.at(nowMillis)));
        return present;
    }

    /**
     * Takes the outcomes at another instance of the zone in place of its earlier ones.
     *
     * @param peer The name of the instance.
     * @param outcomes The outcomes by incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void peer(String peer, Map<String, Outcomes> outcomes, long nowMillis) {
        Map<String, Dated> dated = new HashMap<>();
        outcomes.forEach((incarnation, told) -> dated.put(incarnation, new Dated(told, nowMillis)));
        peers.put(peer, dated);
    }

    /**
     * Estimates the share of requests that an endpoint fails.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The share, from zero to one, the lower the fewer requests ended lately.
     */
    public double failureRate(String incarnation, long nowMillis) {
        Outcomes sum = own.getOrDefault(incarnation, Dated.NONE).at(nowMillis);
        for (Map<String, Dated> told : peers.values()) {
            sum = sum.with(told.getOrDefault(incarnation, Dated.NONE).at(nowMillis));
        }
        return sum.failed() / (sum.ended() + ASSUMED_SUCCESSES);
    }

    /**
     * Forgets what hardly counts any more.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void expire(long nowMillis) {
        own.values().removeIf(dated -> dated.at(nowMillis).ended() < NEGLIGIBLE);
        peers.values()
                .forEach(
                        told ->
                                told.values()
                                        .removeIf(
                                                dated -> dated.at(nowMillis).ended() < NEGLIGIBLE));
        peers.values().removeIf(Map::isEmpty);
    }

    /**
     * Holds outcomes as they counted at some time.
     *
     * @param outcomes The outcomes.
     * @param atMillis The time in milliseconds.
     */
    private record Dated(Outcomes outcomes, long atMillis) {

        /** No requests at any time. */
        private static final Dated NONE = new Dated(Outcomes.NONE, 0);

        /**
         * Returns the outcomes as they count now.
         *
         * @param nowMillis The present time in milliseconds.
         * @return The outcomes.
         */
        private Outcomes at(long nowMillis) {
            return outcomes.times(Math.exp((atMillis - nowMillis) / DECAY_MILLIS));
        }
    }
}
