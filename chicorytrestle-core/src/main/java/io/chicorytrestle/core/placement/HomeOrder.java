package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.Comparator;
import java.util.List;

/** Orders endpoints for a prompt part in a way that all instances agree on without messages. */
final class HomeOrder {

    /** Not to be created. */
    private HomeOrder() {}

    /**
     * Orders endpoints.
     *
     * @param endpoints The endpoints.
     * @param part The prompt part.
     * @return The endpoints, the home first.
     */
    static List<ServingEndpoint> of(List<ServingEndpoint> endpoints, PromptPart part) {
        List<String> ids =
                RendezvousOrder.order(
                        part.id(), endpoints.stream().map(ServingEndpoint::id).toList());
        return endpoints.stream()
                .sorted(Comparator.comparingInt(endpoint -> ids.indexOf(endpoint.id())))
                .toList();
    }
}
