package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.table.PoolRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint of a request from true counts: the most reusable tokens within the bound, or
 * else the first endpoint in rendezvous order. A request waits for a busy endpoint no longer than
 * computing the reusable tokens elsewhere would take.
 */
final class EndpointSelector {

    /** The prompt tokens that an engine computes in a millisecond. */
    private static final long PREFILL_TOKENS_PER_MILLI = 8;

    /** The most milliseconds to wait for an endpoint. */
    private static final long MAXIMUM_REUSE_WAIT_MILLIS = 1_000;

    /** Prevents instances. */
    private EndpointSelector() {}

    /**
     * Chooses the endpoint of a request.
     *
     * @param request The request.
     * @param claims What is believed of the chat's cached tokens, the most tokens first.
     * @param shape The endpoints of the pool.
     * @param book The work in flight.
     * @param bound The bound of each endpoint.
     * @param sinceMillis The time since which the request has waited, in milliseconds.
     * @param nowMillis The present time in milliseconds.
     * @return The endpoint, or empty if the bound allows none or waiting is better.
     */
    static Optional<Candidate> choose(
            LeaderMessage.AdmitRequest request,
            List<LeaderMessage.CacheHint> claims,
            PoolEndpoints shape,
            AdmissionTracker book,
            LoadBound bound,
            long sinceMillis,
            long nowMillis) {
        List<Endpoint> order = shape.rendezvousOrder().order(request.chatHash());
        PoolLoad load = shape.load(book, nowMillis);
        int best = 0;
        for (Candidate candidate : rankCandidates(request, claims, shape, order)) {
            Endpoint endpoint = candidate.endpoint();
            int maximum = load.maximumRequests(bound, endpoint.capacity());
            if (book.maximumInFlightRequests(endpoint.identity()) < maximum) {
                int lost = best - candidate.expectedCachedTokens();
                return nowMillis - sinceMillis < reuseWaitMillis(lost)
                        ? Optional.empty()
                        : Optional.of(candidate);
            }
            best = Math.max(best, candidate.expectedCachedTokens());
        }
        return Optional.empty();
    }

    /**
     * Returns the time that it is worth to wait for reusable tokens.
     *
     * @param tokens The tokens that would have to be computed elsewhere.
     * @return The time in milliseconds.
     */
    private static long reuseWaitMillis(int tokens) {
        return Math.min(MAXIMUM_REUSE_WAIT_MILLIS, tokens / PREFILL_TOKENS_PER_MILLI);
    }

    /**
     * Ranks endpoints by expected reuse.
     *
     * @param request The request.
     * @param claims What is believed of the chat's cached tokens, the most tokens first.
     * @param shape The endpoints of the pool.
     * @param order The endpoints in rendezvous order.
     * @return The candidates, the preferred one first.
     */
    private static List<Candidate> rankCandidates(
            LeaderMessage.AdmitRequest request,
            List<LeaderMessage.CacheHint> claims,
            PoolEndpoints shape,
            List<Endpoint> order) {
        List<Candidate> candidates = new ArrayList<>(order.size() + claims.size());
        for (LeaderMessage.CacheHint claim : claims) {
            int expected = Math.min(request.promptTokens(), claim.cachedTokens());
            shape.accepting(new EndpointIdentity(claim.engine(), claim.incarnation()))
                    .ifPresent(endpoint -> candidates.add(new Candidate(endpoint, expected)));
        }
        order.forEach(endpoint -> candidates.add(new Candidate(endpoint, 0)));
        candidates.removeIf(
                candidate ->
                        shape.isAvoided(candidate.endpoint().identity())
                                || request.excludedEndpoints()
                                        .contains(candidate.endpoint().name()));
        return candidates;
    }

    /**
     * Returns the bound of a pool's endpoints.
     *
     * @param row The pool's row.
     * @return The bound.
     */
    static LoadBound loadBound(PoolRow row) {
        return new LoadBound(row.boundMultiple(), row.ceilingRequests());
    }
}
