package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the requests that each endpoint carries, from this instance's own requests in flight,
 * the counts that peers send, and the load that answers report. It is confined to one thread.
 */
public final class LoadTracker {

    /** The age in milliseconds beyond which a peer's counts are ignored: two lost beats. */
    private static final long MAXIMUM_PEER_COUNT_AGE_MILLIS = 2_000;

    /** The peers beyond which each is heard seldom, so that older counts are used as well. */
    private static final int MANY_PEERS_THRESHOLD = 24;

    /** The age in milliseconds beyond which a peer's counts are ignored if there are many peers. */
    private static final long MAXIMUM_COUNT_AGE_MANY_PEERS_MILLIS = 4_000;

    /** The age in milliseconds beyond which a reported load is ignored: about one short request. */
    private static final long MAXIMUM_REPORT_AGE_MILLIS = 400;

    /** The own requests in flight by incarnation. */
    private final Map<String, Integer> ownCounts = new HashMap<>();

    /** The reported load by incarnation. */
    private final Map<String, ReportedLoad> reportedLoads = new HashMap<>();

    /** The counts by peer. */
    private final Map<String, PeerCounts> peerCounts = new HashMap<>();

    /** The peers of which counts would be known if all were heard. */
    private int expectedPeers;

    /**
     * Sets how many peers there are, so that the counts of those that were not heard lately are
     * estimated from the others.
     *
     * @param peers The number of peers.
     */
    public void setExpectedPeers(int peers) {
        expectedPeers = peers;
    }

    /**
     * Takes note of a request that was placed.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void recordStart(String incarnation) {
        ownCounts.merge(incarnation, 1, Integer::sum);
    }

    /**
     * Takes note of a request that ended.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void recordEnd(String incarnation) {
        ownCounts.computeIfPresent(incarnation, (ignored, count) -> count <= 1 ? null : count - 1);
    }

    /**
     * Takes the load that an answer reported.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param requests The requests that run or wait there.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordReport(String incarnation, int requests, long nowMillis) {
        reportedLoads.put(incarnation, new ReportedLoad(requests, nowMillis));
    }

    /**
     * Takes the counts of a peer in place of its earlier ones.
     *
     * @param peer The name of the peer.
     * @param counts The peer's requests in flight by incarnation.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordPeerCounts(String peer, Map<String, Integer> counts, long nowMillis) {
        peerCounts.put(peer, new PeerCounts(Map.copyOf(counts), nowMillis));
    }

    /**
     * Returns the own requests in flight.
     *
     * @return The counts by incarnation.
     */
    public Map<String, Integer> ownCounts() {
        return Map.copyOf(ownCounts);
    }

    /**
     * Returns the own requests in flight at an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return The count.
     */
    public int ownCounts(String incarnation) {
        return ownCounts.getOrDefault(incarnation, 0);
    }

    /**
     * Estimates the requests that an endpoint carries.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The requests.
     */
    public int estimate(String incarnation, long nowMillis) {
        int counted = ownCounts(incarnation) + peerCounts(incarnation, nowMillis);
        ReportedLoad reported = reportedLoads.get(incarnation);
        if (reported != null
                && nowMillis - reported.reportedMillis() <= MAXIMUM_REPORT_AGE_MILLIS) {
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
    private int peerCounts(String incarnation, long nowMillis) {
        int counted = 0;
        int heard = 0;
        for (PeerCounts counts : peerCounts.values()) {
            if (nowMillis - counts.receivedMillis() <= maximumPeerCountAgeMillis()) {
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
    private long maximumPeerCountAgeMillis() {
        return expectedPeers > MANY_PEERS_THRESHOLD
                ? MAXIMUM_COUNT_AGE_MANY_PEERS_MILLIS
                : MAXIMUM_PEER_COUNT_AGE_MILLIS;
    }

    /**
     * Forgets what is too old to be used.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        peerCounts
                .values()
                .removeIf(
                        counts ->
                                nowMillis - counts.receivedMillis() > maximumPeerCountAgeMillis());
        reportedLoads
                .values()
                .removeIf(
                        report -> nowMillis - report.reportedMillis() > MAXIMUM_REPORT_AGE_MILLIS);
    }

    /**
     * Holds a reported load.
     *
     * @param requests The requests that ran or waited.
     * @param reportedMillis The time of the report in milliseconds.
     */
    private record ReportedLoad(int requests, long reportedMillis) {}

    /**
     * Holds the counts of a peer.
     *
     * @param counts The requests in flight by incarnation.
     * @param receivedMillis The time of their arrival in milliseconds.
     */
    private record PeerCounts(Map<String, Integer> counts, long receivedMillis) {}
}
