package io.chicorytrestle.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Lists the endpoints that may take work, as of one moment.
 *
 * @param endpoints The endpoints of each service, in order of their identifiers.
 * @param leaving The endpoints that finish their work, of all services.
 * @param recentlyJoined The incarnations that appeared lately.
 */
public record ServingView(
        Map<String, List<ServingEndpoint>> endpoints,
        List<ServingEndpoint> leaving,
        Set<String> recentlyJoined) {

    /** The view before any endpoint is known. */
    public static final ServingView EMPTY = new ServingView(Map.of(), List.of(), Set.of());

    /** Copies the collections. */
    public ServingView {
        endpoints = Map.copyOf(endpoints);
        leaving = List.copyOf(leaving);
        recentlyJoined = Set.copyOf(recentlyJoined);
    }

    /**
     * Returns the endpoints of a service that may take work.
     *
     * @param service The name of the service.
     * @return The endpoints, or an empty list if the service has none.
     */
    public List<ServingEndpoint> endpointsOf(String service) {
        return endpoints.getOrDefault(service, List.of());
    }
}
