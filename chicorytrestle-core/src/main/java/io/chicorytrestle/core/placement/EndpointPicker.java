package io.chicorytrestle.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the endpoint of a request. A model request goes to the home of its last shared prompt
 * part, an endpoint that all instances determine by the same rendezvous hash, unless that endpoint
 * is unreachable, avoided or at its load bound; a plain request goes where there is room, as far as
 * the load is known. This class is not thread-safe: it is confined to one thread.
 */
public final class EndpointPicker {

    /**
     * An endpoint is avoided if its failure rate exceeds that of the best endpoint by more than
     * this: a failed request costs its caller more than another prefill of its prompt on a
     * different endpoint.
     */
    private static final double FAILURE_RATE_SLACK = 0.2;

    /** The own zone and the load bound. */
    private final PlacementSettings settings;

    /** Estimates the load of each endpoint. */
    private final LoadTracker loadTracker;

    /** Determines which endpoints are avoided for connection failures. */
    private final EndpointHealth health;

    /** Estimates the failure rate of each endpoint. */
    private final OutcomeTracker outcomeTracker;

    /** Determines which zones are unreachable. */
    private final ZoneReachability zoneReachability;

    /** Determines which endpoints asked for no requests. */
    private final EndpointBackoffs backoffs;

    /** Determines the homes of prompts. */
    private final EndpointRanking ranking;

    /** Chooses among endpoints by their load. */
    private final StaleLoadChooser chooser;

    /** Finds the endpoints from which cached prompt parts can be fetched. */
    private final FetchSourceFinder fetchSources;

    /**
     * Creates a new picker.
     *
     * @param settings The own zone and the load bound.
     * @param loadTracker Estimates the load of each endpoint.
     * @param health Determines which endpoints are avoided for connection failures.
     * @param outcomeTracker Estimates the failure rate of each endpoint.
     * @param zoneReachability Determines which zones are unreachable.
     * @param promptPartTracker Records which endpoint holds which prompt part.
     * @param backoffs Determines which endpoints asked for no requests.
     */
    public EndpointPicker(
            PlacementSettings settings,
            LoadTracker loadTracker,
            EndpointHealth health,
            OutcomeTracker outcomeTracker,
            ZoneReachability zoneReachability,
            PromptPartTracker promptPartTracker,
            EndpointBackoffs backoffs) {
        this.backoffs = backoffs;
        this.settings = settings;
        this.loadTracker = loadTracker;
        this.health = health;
        this.outcomeTracker = outcomeTracker;
        this.zoneReachability = zoneReachability;
        ranking = new EndpointRanking(settings.zone());
        chooser =
                new StaleLoadChooser(
                        settings.zone(), loadTracker, new SplittableRandom(settings.seed()));
        fetchSources = new FetchSourceFinder(promptPartTracker, ranking);
    }

    /**
     * Chooses an endpoint and, for a model request, another endpoint to fetch cached prompt parts
     * from.
     *
     * @param view The known endpoints.
     * @param service The name of the service.
     * @param prompt The prompt, or empty for a plain request.
     * @param isEligible The condition that an endpoint must meet to be chosen, such as not having
     *     been tried.
     * @param nowMillis The current time in milliseconds.
     * @return The placement, or empty if no endpoint is eligible or all that are asked for no
     *     requests.
     */
    public Optional<Placement> pick(
            ServingView view,
            String service,
            Optional<Prompt> prompt,
            Predicate<ServingEndpoint> isEligible,
            long nowMillis) {
        List<ServingEndpoint> ready = backoffs.openOf(view.endpointsOf(service), nowMillis);
        List<ServingEndpoint> allowed = filter(ready, isEligible);
        if (allowed.isEmpty()) {
            return Optional.empty();
        }
        List<ServingEndpoint> healthy = healthyEndpoints(allowed, nowMillis);
        if (prompt.isEmpty() || prompt.get().parts().isEmpty()) {
            return Optional.of(pickByLoad(healthy, nowMillis));
        }
        Placement placement = pickHome(allowed, healthy, prompt.get(), nowMillis);
        return Optional.of(
                placement.withFetchAddress(
                        fetchSources.find(
                                view, ready, prompt.get(), placement.endpoint(), nowMillis)));
    }

    /**
     * Chooses the first endpoint in the rank order of the last shared prompt part that is healthy
     * and below its load bound, or the least loaded one if there is none.
     *
     * @param allowed The endpoints that may be chosen.
     * @param healthy Those of them that are not avoided.
     * @param prompt The prompt, which names at least one part.
     * @param nowMillis The current time in milliseconds.
     * @return The placement.
     */
    private Placement pickHome(
            List<ServingEndpoint> allowed,
            List<ServingEndpoint> healthy,
            Prompt prompt,
            long nowMillis) {
        double bound = loadBound(healthy, nowMillis);
        ServingEndpoint home = ranking.home(allowed, prompt).orElseThrow();
        Set<ServingEndpoint> candidates = Collections.newSetFromMap(new IdentityHashMap<>());
        candidates.addAll(healthy);
        if (candidates.contains(home) && hasCapacity(home, bound, nowMillis)) {
            return placement(home, PlacementReason.HOME, nowMillis);
        }
        for (ServingEndpoint endpoint : ranking.rank(allowed, prompt)) {
            if (candidates.contains(endpoint) && hasCapacity(endpoint, bound, nowMillis)) {
                return placement(endpoint, PlacementReason.SPILL, nowMillis);
            }
        }
        return pickByLoad(healthy, nowMillis);
    }

    /**
     * Returns {@code true} if an endpoint may carry another request.
     *
     * @param endpoint The endpoint.
     * @param bound The maximum number of requests at an endpoint of the service.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if neither the bound nor the endpoint's slots are exceeded.
     */
    private boolean hasCapacity(ServingEndpoint endpoint, double bound, long nowMillis) {
        double load = loadTracker.estimate(endpoint.incarnation(), nowMillis);
        return load + 1 <= Math.min(bound, endpoint.slots());
    }

    /**
     * Chooses an endpoint by its load alone.
     *
     * @param endpoints The endpoints, at least one.
     * @param nowMillis The current time in milliseconds.
     * @return The placement.
     */
    private Placement pickByLoad(List<ServingEndpoint> endpoints, long nowMillis) {
        return placement(
                chooser.choose(endpoints, nowMillis), PlacementReason.LEAST_LOADED, nowMillis);
    }

    /**
     * Returns a placement without an endpoint to fetch from.
     *
     * @param endpoint The chosen endpoint.
     * @param reason Why it was chosen.
     * @param nowMillis The current time in milliseconds.
     * @return The placement.
     */
    private Placement placement(ServingEndpoint endpoint, PlacementReason reason, long nowMillis) {
        return new Placement(
                endpoint,
                reason,
                Optional.empty(),
                loadTracker.estimate(endpoint.incarnation(), nowMillis));
    }

    /**
     * Returns the maximum number of requests that an endpoint may carry: a multiple of the mean
     * load plus a slack.
     *
     * @param endpoints The endpoints of the service.
     * @param nowMillis The current time in milliseconds.
     * @return The bound in requests.
     */
    private double loadBound(List<ServingEndpoint> endpoints, long nowMillis) {
        int sum = 0;
        for (ServingEndpoint endpoint : endpoints) {
            sum += loadTracker.estimate(endpoint.incarnation(), nowMillis);
        }
        double mean = endpoints.isEmpty() ? 0 : (double) sum / endpoints.size();
        return settings.loadMultiple() * mean + settings.loadSlack();
    }

    /**
     * Returns the endpoints that need not be avoided. Filters by reachable zone, by connection
     * failures and by failure rate, in this order; a filter that no endpoint passes is skipped.
     *
     * @param endpoints The endpoints, at least one.
     * @param nowMillis The current time in milliseconds.
     * @return The healthy endpoints, at least one.
     */
    private List<ServingEndpoint> healthyEndpoints(
            List<ServingEndpoint> endpoints, long nowMillis) {
        Set<String> unreachable = zoneReachability.unreachable(nowMillis);
        List<ServingEndpoint> reachable =
                filterUnlessEmpty(endpoints, endpoint -> !unreachable.contains(endpoint.zone()));
        List<ServingEndpoint> connected =
                filterUnlessEmpty(
                        reachable,
                        endpoint -> !health.isAvoided(endpoint.incarnation(), nowMillis));
        double lowest = Double.POSITIVE_INFINITY;
        for (ServingEndpoint endpoint : connected) {
            lowest = Math.min(lowest, failureRate(endpoint, nowMillis));
        }
        double maximumRate = lowest + FAILURE_RATE_SLACK;
        return filterUnlessEmpty(
                connected, endpoint -> failureRate(endpoint, nowMillis) <= maximumRate);
    }

    /**
     * Estimates the share of requests that an endpoint fails.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The share, from zero to one.
     */
    private double failureRate(ServingEndpoint endpoint, long nowMillis) {
        return outcomeTracker.failureRate(endpoint.incarnation(), nowMillis);
    }

    /**
     * Returns the endpoints that meet a condition, or all if none does.
     *
     * @param endpoints The endpoints.
     * @param condition The condition.
     * @return The filtered list, never empty unless the given list is.
     */
    private static List<ServingEndpoint> filterUnlessEmpty(
            List<ServingEndpoint> endpoints, Predicate<ServingEndpoint> condition) {
        List<ServingEndpoint> matching = filter(endpoints, condition);
        return matching.isEmpty() ? endpoints : matching;
    }

    /**
     * Returns the endpoints that meet a condition.
     *
     * @param endpoints The endpoints.
     * @param condition The condition.
     * @return The filtered list.
     */
    private static List<ServingEndpoint> filter(
            List<ServingEndpoint> endpoints, Predicate<ServingEndpoint> condition) {
        List<ServingEndpoint> matching = new ArrayList<>(endpoints.size());
        for (ServingEndpoint endpoint : endpoints) {
            if (condition.test(endpoint)) {
                matching.add(endpoint);
            }
        }
        return matching;
    }
}
