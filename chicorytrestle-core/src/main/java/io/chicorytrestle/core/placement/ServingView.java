package io.chicorytrestle.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An immutable snapshot of the endpoints that may accept work.
 *
 * @param endpoints The endpoints of each service, in order of their identifiers.
 * @param leaving The endpoints of all services that accept no more work, but may still hold cached
 *     prompt parts: those that finish their work, and those of zones that were evacuated or taken
 *     back lately.
 * @param evacuatedServices The services that have endpoints, but only in evacuated zones.
 * @param recentlyJoined The incarnations that joined lately, whose KV caches may not hold their
 *     chats yet.
 */
public record ServingView(
        Map<String, List<ServingEndpoint>> endpoints,
        List<ServingEndpoint> leaving,
        Set<String> evacuatedServices,
        Set<String> recentlyJoined) {

    /** The view before any endpoint is known. */
    public static final ServingView EMPTY =
            new ServingView(Map.of(), List.of(), Set.of(), Set.of());

    /** Copies the collections, so that the record is immutable. */
    public ServingView {
        endpoints = Map.copyOf(endpoints);
        leaving = List.copyOf(leaving);
        evacuatedServices = Set.copyOf(evacuatedServices);
        recentlyJoined = Set.copyOf(recentlyJoined);
    }

    /**
     * Returns {@code true} if any endpoint is known, whether it accepts work or not.
     *
     * @return {@code false} if no service has an endpoint.
     */
    public boolean hasEndpoints() {
        return !endpoints.isEmpty() || !leaving.isEmpty() || !evacuatedServices.isEmpty();
    }

    /**
     * Returns the endpoints of a service that may accept work.
     *
     * @param service The name of the service.
     * @return The endpoints, or an empty list if the service has none.
     */
    public List<ServingEndpoint> endpointsOf(String service) {
        return endpoints.getOrDefault(service, List.of());
    }
}
