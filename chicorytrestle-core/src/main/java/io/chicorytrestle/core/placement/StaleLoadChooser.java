package io.chicorytrestle.core.placement;

import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses among endpoints whose load is known only as of some time ago, while other instances
 * choose from similar knowledge. Load that is still known counts where it was seen; the rest is
 * replaced by what all instances choose now. The choice is random, with the probabilities by which
 * the rest evens out the relative load of the endpoints, as interpretation of stale load
 * information does (Dahlin). This class is not thread-safe: it is confined to one thread.
 */
final class StaleLoadChooser {

    /**
     * The amount by which the relative load of an endpoint of the own zone may exceed that of one
     * of another zone and still be preferred, as a share of its slots.
     */
    private static final double ZONE_PREFERENCE = 0.34;

    /** The zone of this instance. */
    private final String zone;

    /** Estimates the load of each endpoint. */
    private final LoadTracker loadTracker;

    /** Draws the choices, differently for each instance. */
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param zone The zone of this instance.
     * @param loadTracker Estimates the load of each endpoint.
     * @param random Draws the choices, differently for each instance.
     */
    StaleLoadChooser(String zone, LoadTracker loadTracker, RandomGenerator random) {
        this.zone = zone;
        this.loadTracker = loadTracker;
        this.random = random;
    }

    /**
     * Chooses an endpoint for a request.
     *
     * @param endpoints The endpoints, at least one.
     * @param nowMillis The current time in milliseconds.
     * @return The chosen endpoint.
     */
    ServingEndpoint choose(List<ServingEndpoint> endpoints, long nowMillis) {
        double[] relativeLoads = new double[endpoints.size()];
        double unknownRequests = 1;
        for (int index = 0; index < relativeLoads.length; index++) {
            ServingEndpoint endpoint = endpoints.get(index);
            LoadEstimate load = loadTracker.estimateWithAge(endpoint, nowMillis);
            relativeLoads[index] =
                    load.knownRequests() / endpoint.slots()
                            - (endpoint.zone().equals(zone) ? ZONE_PREFERENCE : 0);
            unknownRequests += load.unknownRequests();
        }
        double level = level(endpoints, relativeLoads, unknownRequests);
        double remaining = random.nextDouble() * unknownRequests;
        ServingEndpoint chosen = endpoints.get(0);
        for (int index = 0; index < relativeLoads.length; index++) {
            double share = level - relativeLoads[index];
            if (share > 0) {
                chosen = endpoints.get(index);
                remaining -= share * chosen.slots();
                if (remaining < 0) {
                    break;
                }
            }
        }
        return chosen;
    }

    /**
     * Returns the relative load that endpoints reach if requests are added where it is lowest.
     *
     * @param endpoints The endpoints.
     * @param relativeLoads The load of each as a share of its slots.
     * @param addedRequests The number of requests that are added, above zero.
     * @return The relative load, above the lowest of those given.
     */
    private static double level(
            List<ServingEndpoint> endpoints, double[] relativeLoads, double addedRequests) {
        Integer[] order = new Integer[relativeLoads.length];
        Arrays.setAll(order, index -> index);
        Arrays.sort(
                order,
                (first, second) -> Double.compare(relativeLoads[first], relativeLoads[second]));
        double slots = 0;
        double requests = addedRequests;
        double level = Double.POSITIVE_INFINITY;
        for (int index : order) {
            if (relativeLoads[index] >= level) {
                break;
            }
            slots += endpoints.get(index).slots();
            requests += relativeLoads[index] * endpoints.get(index).slots();
            level = requests / slots;
        }
        return level;
    }
}
