package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the endpoint of a request. A model request goes to the agreed home of its last shared
 * prompt part, which all instances compute alike, unless that endpoint is broken or at its load
 * bound; a plain request goes to the least loaded endpoint. It is confined to one thread.
 */
public final class EndpointPicker {

    /** The failure rate beyond which an endpoint is avoided if others fail less. */
    private static final double FAILURE_RATE_SLACK = 0.25;

    /** The factor by which a failure rate must exceed the mean for an endpoint to be avoided. */
    private static final double FAILURE_RATE_MULTIPLE = 2;

    /** The load of another zone's endpoint that a local one may exceed, as a share of its slots. */
    private static final double ZONE_PREFERENCE = 0.34;

    /** The bounds. */
    private final PlacementSettings settings;

    /** Estimates the load. */
    private final LoadBook loads;

    /** Judges endpoints. */
    private final EndpointHealth health;

    /** Remembers who holds prompt parts. */
    private final HolderBook holders;

    /**
     * Creates a new picker.
     *
     * @param settings The bounds.
     * @param loads Estimates the load.
     * @param health Judges endpoints.
     * @param holders Remembers who holds prompt parts.
     */
    public EndpointPicker(
            PlacementSettings settings, LoadBook loads, EndpointHealth health, HolderBook holders) {
        this.settings = settings;
        this.loads = loads;
        this.health = health;
        this.holders = holders;
    }

    /**
     * Chooses an endpoint.
     *
     * @param endpoints The endpoints of the service that may take work.
     * @param prompt The prompt, or empty for a plain request.
     * @param excluded The incarnations that must not be chosen.
     * @param nowMillis The present time in milliseconds.
     * @return The placement, or empty if no endpoint remains.
     */
    public Optional<Placement> pick(
            List<ServingEndpoint> endpoints,
            Optional<Prompt> prompt,
            Set<String> excluded,
            long nowMillis) {
        List<ServingEndpoint> allowed =
                endpoints.stream()
                        .filter(endpoint -> !excluded.contains(endpoint.incarnation()))
                        .toList();
        if (allowed.isEmpty()) {
            return Optional.empty();
        }
        List<ServingEndpoint> sound = sound(allowed, nowMillis);
        Optional<PromptPart> key = prompt.flatMap(Prompt::lastSharedPart);
        if (key.isEmpty()) {
            return Optional.of(leastLoaded(sound, nowMillis));
        }
        return Optional.of(home(allowed, sound, prompt.get(), key.get(), nowMillis));
    }

    /**
     * Chooses by the agreed order of a prompt part.
     *
     * @param allowed The endpoints that may be chosen.
     * @param sound Those of them that are not avoided.
     * @param prompt The prompt.
     * @param key The prompt part.
     * @param nowMillis The present time in milliseconds.
     * @return The placement.
     */
    private Placement home(
            List<ServingEndpoint> allowed,
            List<ServingEndpoint> sound,
            Prompt prompt,
            PromptPart key,
            long nowMillis) {
        List<ServingEndpoint> order = ordered(allowed, key);
        double bound = bound(sound, nowMillis);
        for (ServingEndpoint endpoint : order) {
            double load = loads.estimate(endpoint.incarnation(), nowMillis);
            if (sound.contains(endpoint) && load + 1 <= Math.min(bound, endpoint.slots())) {
                PlacementReason reason =
                        endpoint.equals(order.get(0))
                                ? PlacementReason.HOME
                                : PlacementReason.SPILL;
                return new Placement(
                        endpoint, reason, holders.otherHolder(prompt, endpoint, nowMillis), load);
            }
        }
        return leastLoaded(sound, nowMillis);
    }

    /**
     * Returns the endpoints in the order that all instances agree on for a prompt part.
     *
     * @param endpoints The endpoints.
     * @param key The prompt part.
     * @return The endpoints, the home first.
     */
    private static List<ServingEndpoint> ordered(List<ServingEndpoint> endpoints, PromptPart key) {
        List<String> ids =
                RendezvousOrder.order(
                        key.id(), endpoints.stream().map(ServingEndpoint::id).toList());
        return endpoints.stream()
                .sorted(Comparator.comparingInt(endpoint -> ids.indexOf(endpoint.id())))
                .toList();
    }

    /**
     * Returns the most requests that an endpoint may carry.
     *
     * @param endpoints The endpoints of the service.
     * @param nowMillis The present time in milliseconds.
     * @return The bound in requests.
     */
    private double bound(List<ServingEndpoint> endpoints, long nowMillis) {
        double mean =
                endpoints.stream()
                        .mapToInt(endpoint -> loads.estimate(endpoint.incarnation(), nowMillis))
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
    private Placement leastLoaded(List<ServingEndpoint> endpoints, long nowMillis) {
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
                loads.estimate(best.incarnation(), nowMillis));
    }

    /**
     * Returns the load of an endpoint for its size.
     *
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The load as a share of the slots, smaller for the own zone.
     */
    private double relativeLoad(ServingEndpoint endpoint, long nowMillis) {
        double load = (double) loads.estimate(endpoint.incarnation(), nowMillis) / endpoint.slots();
        return endpoint.zone().equals(settings.zone()) ? load - ZONE_PREFERENCE : load;
    }

    /**
     * Returns the endpoints that need not be avoided.
     *
     * @param endpoints The endpoints, at least one.
     * @param nowMillis The present time in milliseconds.
     * @return The sound endpoints, or all if none is sound.
     */
    private List<ServingEndpoint> sound(List<ServingEndpoint> endpoints, long nowMillis) {
        double mean =
                endpoints.stream()
                        .mapToDouble(endpoint -> health.failureRate(endpoint.incarnation()))
                        .average()
                        .orElse(0);
        List<ServingEndpoint> sound =
                endpoints.stream()
                        .filter(endpoint -> !health.isBroken(endpoint.incarnation(), nowMillis))
                        .filter(
                                endpoint ->
                                        health.failureRate(endpoint.incarnation())
                                                <= FAILURE_RATE_MULTIPLE * mean
                                                        + FAILURE_RATE_SLACK)
                        .toList();
        return sound.isEmpty() ? endpoints : sound;
    }
}
