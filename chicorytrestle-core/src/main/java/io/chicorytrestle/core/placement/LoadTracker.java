package io.chicorytrestle.core.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the number of requests that each endpoint carries, from this instance's own requests in
 * flight, the counts that peers send, and the load that answers report. This class is not
 * thread-safe: it is confined to one thread.
 */
public final class LoadTracker {

    /** The age in milliseconds beyond which a peer's counts are ignored: two lost heartbeats. */
    private static final long MAXIMUM_PEER_COUNT_AGE_MILLIS = 2_000;

    /**
     * The number of peers beyond which each one's counts arrive seldom, so that older counts are
     * used as well.
     */
    private static final int MANY_PEERS_THRESHOLD = 24;

    /** The age in milliseconds beyond which a peer's counts are ignored if there are many peers. */
    private static final long MAXIMUM_COUNT_AGE_MANY_PEERS_MILLIS = 4_000;

    /** The age in milliseconds beyond which a reported load is ignored: about one short request. */
    private static final long MAXIMUM_REPORT_AGE_MILLIS = 400;

    /** The shortest time in milliseconds within which an endpoint's load is taken to change. */
    private static final double LOAD_CHANGE_MILLIS = 500;

    /** The weight of the latest request in the mean duration of requests. */
    private static final double LATEST_DURATION_WEIGHT = 0.1;

    /** This instance's requests in flight by incarnation of the endpoint. */
    private final Map<String, Integer> ownCounts = new HashMap<>();

    /** The mean duration of this instance's requests in milliseconds by service. */
    private final Map<String, Double> meanDurationsMillis = new HashMap<>();

    /** The last reported load by incarnation of the endpoint. */
    private final Map<String, ReportedLoad> reportedLoads = new HashMap<>();

    /** The current counts of each peer by its name, the earliest received first. */
    private final Map<String, PeerCounts> peerCounts = new LinkedHashMap<>();

    /** The sums of the current counts of all peers by incarnation of the endpoint. */
    private final Map<String, Integer> peerTotals = new HashMap<>();

    /** The time in milliseconds at which the earliest of the current peer counts were received. */
    private long earliestCountsMillis = Long.MAX_VALUE;

    /** The sum of the times in milliseconds at which the current peer counts were received. */
    private long receivedMillisSum;

    /** The number of peers in the fleet, whether or not their counts arrived. */
    private int expectedPeers;

    /**
     * Sets the number of peers, so that the load of those whose counts are missing or outdated is
     * estimated from the others.
     *
     * @param peers The number of peers.
     */
    public void setExpectedPeers(int peers) {
        expectedPeers = peers;
    }

    /**
     * Records a request that was sent to an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void recordStart(String incarnation) {
        ownCounts.merge(incarnation, 1, Integer::sum);
    }

    /**
     * Records the end of a request. An end without a start is ignored.
     *
     * @param incarnation The incarnation of the endpoint.
     */
    public void recordEnd(String incarnation) {
        ownCounts.computeIfPresent(incarnation, (ignored, count) -> count <= 1 ? null : count - 1);
    }

    /**
     * Records how long a request took.
     *
     * @param service The name of the service.
     * @param durationMillis The time from its start to its end in milliseconds.
     */
    public void recordDuration(String service, long durationMillis) {
        meanDurationsMillis.merge(
                service,
                (double) durationMillis,
                (mean, latest) -> mean + LATEST_DURATION_WEIGHT * (latest - mean));
    }

    /**
     * Records the load that an answer reported.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param requests The number of requests that run or wait there.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordReport(String incarnation, int requests, long nowMillis) {
        int peerRequests = Math.max(0, requests - ownCounts(incarnation));
        reportedLoads.put(incarnation, new ReportedLoad(requests, peerRequests, nowMillis));
    }

    /**
     * Records the counts of a peer, which replace its earlier ones.
     *
     * @param peer The name of the peer.
     * @param counts The peer's requests in flight by incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordPeerCounts(String peer, Map<String, Integer> counts, long nowMillis) {
        PeerCounts previous = peerCounts.remove(peer);
        if (previous != null) {
            subtractFromTotals(previous);
        }
        PeerCounts current = new PeerCounts(Map.copyOf(counts), nowMillis);
        peerCounts.put(peer, current);
        receivedMillisSum += nowMillis;
        current.counts()
                .forEach(
                        (incarnation, count) -> peerTotals.merge(incarnation, count, Integer::sum));
        updateEarliestCounts();
    }

    /**
     * Subtracts counts that are replaced or too old from the totals.
     *
     * @param removed The counts.
     */
    private void subtractFromTotals(PeerCounts removed) {
        receivedMillisSum -= removed.receivedMillis();
        removed.counts()
                .forEach(
                        (incarnation, count) ->
                                peerTotals.computeIfPresent(
                                        incarnation,
                                        (ignored, total) -> total <= count ? null : total - count));
    }

    /** Records when the earliest of the current counts were received. */
    private void updateEarliestCounts() {
        earliestCountsMillis =
                peerCounts.isEmpty()
                        ? Long.MAX_VALUE
                        : peerCounts.values().iterator().next().receivedMillis();
    }

    /**
     * Removes the counts of peers that are too old to be used.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void removeExpiredCounts(long nowMillis) {
        long maximumAgeMillis = maximumPeerCountAgeMillis();
        if (earliestCountsMillis >= nowMillis - maximumAgeMillis) {
            return;
        }
        Iterator<PeerCounts> counts = peerCounts.values().iterator();
        while (counts.hasNext()) {
            PeerCounts earliest = counts.next();
            if (earliest.receivedMillis() >= nowMillis - maximumAgeMillis) {
                break;
            }
            counts.remove();
            subtractFromTotals(earliest);
        }
        updateEarliestCounts();
    }

    /**
     * Returns this instance's requests in flight, for its heartbeats.
     *
     * @return The counts by incarnation of the endpoint.
     */
    public Map<String, Integer> ownCounts() {
        return Map.copyOf(ownCounts);
    }

    /**
     * Returns this instance's requests in flight at an endpoint.
     *
     * @param incarnation The incarnation of the endpoint.
     * @return The count, zero if there are none.
     */
    public int ownCounts(String incarnation) {
        return ownCounts.getOrDefault(incarnation, 0);
    }

    /**
     * Estimates the number of requests that an endpoint carries: the larger of the counts of all
     * instances and a recent report.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The estimated number of requests.
     */
    public int estimate(String incarnation, long nowMillis) {
        int countedRequests = ownCounts(incarnation) + estimatePeerRequests(incarnation, nowMillis);
        ReportedLoad reported = reportedLoads.get(incarnation);
        if (reported != null
                && nowMillis - reported.reportedMillis() <= MAXIMUM_REPORT_AGE_MILLIS) {
            return Math.max(countedRequests, reported.requests());
        }
        return countedRequests;
    }

    /**
     * Estimates the number of requests of all peers at an endpoint, scaled up for peers without
     * recent counts.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The estimated number of requests.
     */
    private int estimatePeerRequests(String incarnation, long nowMillis) {
        removeExpiredCounts(nowMillis);
        int countedRequests = peerTotals.getOrDefault(incarnation, 0);
        int currentPeers = peerCounts.size();
        return currentPeers == 0 || currentPeers >= expectedPeers
                ? countedRequests
                : Math.round((float) countedRequests * expectedPeers / currentPeers);
    }

    /**
     * Estimates the load of an endpoint and how much of it is still known. A report is used instead
     * of peers' counts while it is the more recent one. Without any counts, the peers are assumed
     * to carry as many requests as this instance each.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The estimate, by whether the load is still known.
     */
    LoadEstimate estimateWithAge(ServingEndpoint endpoint, long nowMillis) {
        String incarnation = endpoint.incarnation();
        int ownRequests = ownCounts(incarnation);
        double peerRequests = estimatePeerRequests(incarnation, nowMillis);
        double ageMillis = Double.POSITIVE_INFINITY;
        double receivedShare = 1;
        if (peerCounts.isEmpty()) {
            peerRequests = (double) ownRequests * expectedPeers;
        } else {
            ageMillis = nowMillis - (double) receivedMillisSum / peerCounts.size();
            receivedShare = Math.min(1, (double) peerCounts.size() / Math.max(1, expectedPeers));
        }
        ReportedLoad reported = reportedLoads.get(incarnation);
        if (reported != null && nowMillis - reported.reportedMillis() < ageMillis) {
            peerRequests = reported.peerRequests();
            ageMillis = nowMillis - reported.reportedMillis();
            receivedShare = 1;
        }
        double changeMillis =
                Math.max(
                        LOAD_CHANGE_MILLIS,
                        meanDurationsMillis.getOrDefault(endpoint.service(), 0.0));
        double known = peerRequests * receivedShare * Math.exp(-ageMillis / changeMillis);
        return new LoadEstimate(ownRequests + known, Math.max(0, peerRequests - known));
    }

    /**
     * Returns the age beyond which a peer's counts are ignored, which depends on the number of
     * peers.
     *
     * @return The age in milliseconds.
     */
    private long maximumPeerCountAgeMillis() {
        return expectedPeers > MANY_PEERS_THRESHOLD
                ? MAXIMUM_COUNT_AGE_MANY_PEERS_MILLIS
                : MAXIMUM_PEER_COUNT_AGE_MILLIS;
    }

    /**
     * Removes counts and reports that are too old to be used.
     *
     * @param nowMillis The current time in milliseconds.
     */
    public void removeExpired(long nowMillis) {
        removeExpiredCounts(nowMillis);
        reportedLoads
                .values()
                .removeIf(
                        report -> nowMillis - report.reportedMillis() > MAXIMUM_REPORT_AGE_MILLIS);
    }

    /**
     * Holds the load that an answer reported.
     *
     * @param requests The number of requests that ran or waited.
     * @param peerRequests The number of those that were not this instance's.
     * @param reportedMillis The time of the report in milliseconds.
     */
    private record ReportedLoad(int requests, int peerRequests, long reportedMillis) {}

    /**
     * Holds the counts of a peer.
     *
     * @param counts The requests in flight by incarnation of the endpoint.
     * @param receivedMillis The time of their arrival in milliseconds.
     */
    private record PeerCounts(Map<String, Integer> counts, long receivedMillis) {}
}
