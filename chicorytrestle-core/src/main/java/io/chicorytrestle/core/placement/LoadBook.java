package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the requests that each endpoint carries, from this instance's own requests in flight,
 * the counts that peers send, and the load that answers report. It is confined to one thread.
 */
public final class LoadBook {

    /** The age in milliseconds beyond which a peer's counts are ignored: two lost beats. */
    private static final long PEER_COUNT_AGE_MILLIS = 2_000;

    /** The peers beyond which each is heard seldom, so that older counts are used as well. */
    private static final int MANY_PEERS = 24;

    /** The age in milliseconds beyond which a peer's counts are ignored if there are many peers. */
    private static final long MANY_PEERS_COUNT_AGE_MILLIS = 4_000;

    /** The age in milliseconds beyond which a reported load is ignored: about one short request. */
    private static final long REPORT_AGE_MILLIS = 400;

    /** The own requests in flight by incarnation. */
    private final Map<String, Integer> own = new HashMap<>();

    /** The reported load by incarnation. */
    private final Map<String, Reported> reports = new HashMap<>();

    /** The counts by peer. */
    private final Map<String, PeerCounts> peers = new HashMap<>();

    /** The peers of which counts would be known if all were heard. */
    private int expectedPeers;

    /**
     * Sets how many peers there are, so that the counts of those that were not heard lately are
     * estimated from the others.
     *
     * @param peers The number of peers.
     */
    public void expectPeers(int peers) {
        expectedPeers = peers;
    }

    /**
     * Takes note of a request that was placed.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void begin(String incarnation) {
        own.merge(incarnation, 1, Integer::sum);
    }

    /**
     * Takes note of a request that ended.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void end(String incarnation) {
        own.computeIfPresent(incarnation, (ignored, count) -> count <= 1 ? null : count - 1);
    }

    /**
     * Takes the load that an answer reported.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param requests The requests that run or wait there.
     * @param nowMillis The present time in milliseconds.
     */
    public void report(String incarnation, int requests, long nowMillis) {
        reports.put(incarnation, new Reported(requests, nowMillis));
    }

    /**
     * Takes the counts of a peer in place of its earlier ones.
     *
     * @param peer The name of the peer.
     * @param counts The peer's requests in flight by incarnation.
     * @param nowMillis The present time in milliseconds.
     */
    public void peer(String peer, Map<String, Integer> counts, long nowMillis) {
        peers.put(peer, new PeerCounts(Map.copyOf(counts), nowMillis));
    }

    /**
     * Returns the own requests in flight.
     *
     * @return The counts by incarnation.
     */
    public Map<String, Integer> own() {
        return Map.copyOf(own);
    }

    /**
     * Returns the own requests in flight at an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return The count.
     */
    public int own(String incarnation) {
        return own.getOrDefault(incarnation, 0);
    }

    /**
     * Estimates the requests that an endpoint carries.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The requests.
     */
    public int estimate(String incarnation, long nowMillis) {
        int counted = own(incarnation) + peers(incarnation, nowMillis);
        Reported reported = reports.get(incarnation);
        if (reported != null && nowMillis - reported.atMillis() <= REPORT_AGE_MILLIS) {
            return Math.max(counted, reported.requests());
        }
        return counted;
    }

    /**
     * Estimates the requests of all peers at an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The requests.
     */
    private int peers(String incarnation, long nowMillis) {
        int counted = 0;
        int heard = 0;
        for (PeerCounts counts : peers.values()) {
            if (nowMillis - counts.atMillis() <= peerCountAgeMillis()) {
                heard++;
                counted += counts.counts().getOrDefault(incarnation, 0);
            }
        }
        return heard == 0 || heard >= expectedPeers
                ? counted
                : Math.round((float) counted * expectedPeers / heard);
    }

    /**
     * Returns the age beyond which a peer's counts are ignored.
     *
     * @return The age in milliseconds.
     */
    private long peerCountAgeMillis() {
        return expectedPeers > MANY_PEERS ? MANY_PEERS_COUNT_AGE_MILLIS : PEER_COUNT_AGE_MILLIS;
    }

    /**
     * Forgets what is too old to be used.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void expire(long nowMillis) {
        peers.values().removeIf(counts -> nowMillis - counts.atMillis() > peerCountAgeMillis());
        reports.values().removeIf(report -> nowMillis - report.atMillis() > REPORT_AGE_MILLIS);
    }

    /**
     * Holds a reported load.
     *
     * @param requests The requests that ran or waited.
     * @param atMillis The time of the report in milliseconds.
     */
    private record Reported(int requests, long atMillis) {}

    /**
     * Holds the counts of a peer.
     *
     * @param counts The requests in flight by incarnation.
     * @param atMillis The time of their arrival in milliseconds.
     */
    private record PeerCounts(Map<String, Integer> counts, long atMillis) {}
}
