package io.chicorytrestle.core.placement;

import java.util.List;
import java.util.Map;

/**
 * Lists the endpoints that may take work, as of one moment.
 *
 * @param endpoints The endpoints of each service, in order of their identifiers.
 */
public record ServingView(Map<String, List<ServingEndpoint>> endpoints) {

    /** The view before any endpoint is known. */
    public static final ServingView EMPTY = new ServingView(Map.of());

    /** Copies the map. */
    public ServingView {
        endpoints = Map.copyOf(endpoints);
    }

    /**
     * Returns the endpoints of a service that may take work.
     *
     * @param service The name of the service.
     * @return The endpoints, or an empty list if the service has none.
     */
    public List<ServingEndpoint> of(String service) {
        return endpoints.getOrDefault(service, List.of());
    }
}
