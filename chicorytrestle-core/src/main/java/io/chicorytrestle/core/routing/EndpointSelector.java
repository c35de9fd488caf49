package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.table.PoolRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Selects the endpoint of a request from the leader's own counts: the one with most reusable cached
 * tokens within the load bound, or else the first one in rendezvous order. A request waits for a
 * busy endpoint no longer than it would take to compute the reusable tokens elsewhere.
 */
final class EndpointSelector {

    /** The prompt tokens that an engine computes in a millisecond, to estimate the wait. */
    private static final long PREFILL_TOKENS_PER_MILLI = 8;

    /** The maximum time to wait for an endpoint with reusable tokens, in milliseconds. */
    private static final long MAXIMUM_REUSE_WAIT_MILLIS = 1_000;

    /** Prevents instances. */
    private EndpointSelector() {}

    /**
     * Chooses the endpoint of a request.
     *
     * @param request The request.
     * @param cacheHints The estimates of the chat's cached tokens, the largest first.
     * @param endpoints The endpoints of the pool.
     * @param tracker The work in flight.
     * @param bound The load bound of each endpoint.
     * @param enqueuedAtMillis The time at which the request was queued, in milliseconds.
     * @param nowMillis The current time in milliseconds.
     * @return The endpoint, or empty if the load bound allows none or if waiting is cheaper.
     */
    static Optional<Candidate> choose(
            LeaderMessage.AdmitRequest request,
            List<LeaderMessage.CacheHint> cacheHints,
            PoolEndpoints endpoints,
            AdmissionTracker tracker,
            LoadBound bound,
            long enqueuedAtMillis,
            long nowMillis) {
        List<Endpoint> order = endpoints.rendezvousOrder().order(request.chatHash());
        PoolLoad load = endpoints.load(tracker, nowMillis);
        int mostCachedTokens = 0;
        for (Candidate candidate : rankCandidates(request, cacheHints, endpoints, order)) {
            Endpoint endpoint = candidate.endpoint();
            int maximum = load.maximumRequests(bound, endpoint.capacity());
            if (tracker.maximumInFlightRequests(endpoint.identity()) < maximum) {
                int lostTokens = mostCachedTokens - candidate.expectedCachedTokens();
                return nowMillis - enqueuedAtMillis < reuseWaitMillis(lostTokens)
                        ? Optional.empty()
                        : Optional.of(candidate);
            }
            mostCachedTokens = Math.max(mostCachedTokens, candidate.expectedCachedTokens());
        }
        return Optional.empty();
    }

    /**
     * Returns how long it is worth waiting for reusable tokens.
     *
     * @param tokens The tokens that would have to be computed elsewhere.
     * @return The time in milliseconds.
     */
    private static long reuseWaitMillis(int tokens) {
        return Math.min(MAXIMUM_REUSE_WAIT_MILLIS, tokens / PREFILL_TOKENS_PER_MILLI);
    }

    /**
     * Ranks endpoints by expected reuse, without avoided and excluded ones.
     *
     * @param request The request.
     * @param cacheHints The estimates of the chat's cached tokens, the largest first.
     * @param endpoints The endpoints of the pool.
     * @param order The endpoints in rendezvous order.
     * @return The candidates, the preferred one first.
     */
    private static List<Candidate> rankCandidates(
            LeaderMessage.AdmitRequest request,
            List<LeaderMessage.CacheHint> cacheHints,
            PoolEndpoints endpoints,
            List<Endpoint> order) {
        List<Candidate> candidates = new ArrayList<>(order.size() + cacheHints.size());
        for (LeaderMessage.CacheHint hint : cacheHints) {
            int expected = Math.min(request.promptTokens(), hint.cachedTokens());
            endpoints
                    .accepting(new EndpointIdentity(hint.engine(), hint.incarnation()))
                    .ifPresent(endpoint -> candidates.add(new Candidate(endpoint, expected)));
        }
        order.forEach(endpoint -> candidates.add(new Candidate(endpoint, 0)));
        candidates.removeIf(
                candidate ->
                        endpoints.isAvoided(candidate.endpoint().identity())
                                || request.excludedEndpoints()
                                        .contains(candidate.endpoint().name()));
        return candidates;
    }

    /**
     * Returns the load bound of a pool's endpoints.
     *
     * @param row The pool's row in the table.
     * @return The load bound.
     */
    static LoadBound loadBound(PoolRow row) {
        return new LoadBound(row.boundMultiple(), row.ceilingRequests());
    }
}
