package io.chicorytrestle.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the endpoint of a request. A model request goes to the agreed home of its last shared
 * prompt part, which all instances compute alike, unless that endpoint is out of reach, broken or
 * at its load bound; a plain request goes to the least loaded endpoint. It is confined to one
 * thread.
 */
public final class EndpointPicker {

    /**
     * The failure rate beyond that of the best endpoint at which an endpoint is avoided: a failed
     * request costs its caller more than a prompt that is read once more elsewhere.
     */
    private static final double FAILURE_RATE_SLACK = 0.2;

    /** The load of another zone's endpoint that a local one may exceed, as a share of its slots. */
    private static final double ZONE_PREFERENCE = 0.34;

    /** The bounds. */
    private final PlacementSettings settings;

    /** Estimates the load. */
    private final LoadTracker loadTracker;

    /** Judges endpoints by their connections. */
    private final EndpointHealth health;

    /** Judges endpoints by their answers. */
    private final OutcomeTracker outcomeTracker;

    /** Judges zones. */
    private final ZoneReachability zoneReachability;

    /** Finds endpoints to fetch cached parts from. */
    private final FetchSourceFinder fetchSources;

    /**
     * Creates a new picker.
     *
     * @param settings The bounds.
     * @param loads Estimates the load.
     * @param health Judges endpoints by their connections.
     * @param outcomes Judges endpoints by their answers.
     * @param reach Judges zones.
     * @param holders Remembers who holds prompt parts.
     */
    public EndpointPicker(
            PlacementSettings settings,
            LoadTracker loads,
            EndpointHealth health,
            OutcomeTracker outcomes,
            ZoneReachability reach,
            PromptPartTracker holders) {
        this.settings = settings;
        this.loadTracker = loads;
        this.health = health;
        this.outcomeTracker = outcomes;
        this.zoneReachability = reach;
        fetchSources = new FetchSourceFinder(holders, settings.zone());
    }

    /**
     * Chooses an endpoint.
     *
     * @param view The known endpoints.
     * @param service The name of the service.
     * @param prompt The prompt, or empty for a plain request.
     * @param excluded The incarnations that must not be chosen.
     * @param nowMillis The present time in milliseconds.
     * @return The placement, or empty if no endpoint remains.
     */
    public Optional<Placement> pick(
            ServingView view,
            String service,
            Optional<Prompt> prompt,
            Set<String> excluded,
            long nowMillis) {
        List<ServingEndpoint> ready = view.endpointsOf(service);
        List<ServingEndpoint> allowed =
                ready.stream()
                        .filter(endpoint -> !excluded.contains(endpoint.incarnation()))
                        .toList();
        if (allowed.isEmpty()) {
            return Optional.empty();
        }
        List<ServingEndpoint> sound = healthyEndpoints(allowed, nowMillis);
        if (prompt.isEmpty() || prompt.get().parts().isEmpty()) {
            return Optional.of(pickLeastLoaded(sound, nowMillis));
        }
        Placement placement = pickHome(allowed, sound, prompt.get(), nowMillis);
        return Optional.of(
                placement.withFetchAddress(
                        fetchSources.find(
                                view, ready, prompt.get(), placement.endpoint(), nowMillis)));
    }

    /**
     * Chooses by the agreed order of the last shared prompt part.
     *
     * @param allowed The endpoints that may be chosen.
     * @param sound Those of them that are not avoided.
     * @param prompt The prompt, which names at least one part.
     * @param nowMillis The present time in milliseconds.
     * @return The placement.
     */
    private Placement pickHome(
            List<ServingEndpoint> allowed,
            List<ServingEndpoint> sound,
            Prompt prompt,
            long nowMillis) {
        List<ServingEndpoint> order = EndpointRanking.rank(allowed, prompt, settings.zone());
        double bound = loadBound(sound, nowMillis);
        for (ServingEndpoint endpoint : order) {
            double load = loadTracker.estimate(endpoint.incarnation(), nowMillis);
            if (sound.contains(endpoint) && load + 1 <= Math.min(bound, endpoint.slots())) {
                PlacementReason reason =
                        endpoint.equals(order.get(0))
                                ? PlacementReason.HOME
                                : PlacementReason.SPILL;
                return new Placement(endpoint, reason, Optional.empty(), load);
            }
        }
        return pickLeastLoaded(sound, nowMillis);
    }

    /**
     * Returns the most requests that an endpoint may carry.
     *
     * @param endpoints The endpoints of the service.
     * @param nowMillis The present time in milliseconds.
     * @return The bound in requests.
     */
    private double loadBound(List<ServingEndpoint> endpoints, long nowMillis) {
        double mean =
                endpoints.stream()
                        .mapToInt(
                                endpoint -> loadTracker.estimate(endpoint.incarnation(), nowMillis))
                        .average()
                        .orElse(0);
        return settings.loadMultiple() * mean + settings.loadSlack();
    }

    /**
     * Chooses the endpoint with the least work for its size, preferring the own zone.
     *
     * @param endpoints The endpoints, at least one.
     * @param nowMillis The present time in milliseconds.
     * @return The placement.
     */
    private Placement pickLeastLoaded(List<ServingEndpoint> endpoints, long nowMillis) {
        ServingEndpoint best =
                endpoints.stream()
                        .min(
                                Comparator.comparingDouble(
                                        endpoint -> relativeLoad(endpoint, nowMillis)))
                        .orElseThrow();
        return new Placement(
                best,
                PlacementReason.LEAST_LOADED,
                Optional.empty(),
                loadTracker.estimate(best.incarnation(), nowMillis));
    }

    /**
     * Returns the load of an endpoint for its size.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The load as a share of the slots, smaller for the own zone.
     */
    private double relativeLoad(ServingEndpoint endpoint, long nowMillis) {
        double load =
                (double) loadTracker.estimate(endpoint.incarnation(), nowMillis) / endpoint.slots();
        return endpoint.zone().equals(settings.zone()) ? load - ZONE_PREFERENCE : load;
    }

    /**
     * Returns the endpoints that need not be avoided. Where all must be, the judgement by failures
     * is dropped before that by connections, and the one by zones last.
     *
     * @param endpoints The endpoints, at least one.
     * @param nowMillis The present time in milliseconds.
     * @return The sound endpoints, at least one.
     */
    private List<ServingEndpoint> healthyEndpoints(
            List<ServingEndpoint> endpoints, long nowMillis) {
        Set<String> unreachable = zoneReachability.unreachable(nowMillis);
        List<ServingEndpoint> reached =
                filterUnlessEmpty(endpoints, endpoint -> !unreachable.contains(endpoint.zone()));
        List<ServingEndpoint> connected =
                filterUnlessEmpty(
                        reached, endpoint -> !health.isAvoided(endpoint.incarnation(), nowMillis));
        double best =
                connected.stream()
                        .mapToDouble(endpoint -> failureRate(endpoint, nowMillis))
                        .min()
                        .orElse(0);
        return filterUnlessEmpty(
                connected,
                endpoint -> failureRate(endpoint, nowMillis) <= best + FAILURE_RATE_SLACK);
    }

    /**
     * Estimates the share of requests that an endpoint fails.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
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
     * @return The endpoints that meet the condition, or all if none does.
     */
    private static List<ServingEndpoint> filterUnlessEmpty(
            List<ServingEndpoint> endpoints, Predicate<ServingEndpoint> condition) {
        List<ServingEndpoint> left = endpoints.stream().filter(condition).toList();
        return left.isEmpty() ? endpoints : left;
    }
}
