package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.Comparator;
import java.util.List;

/**
 * Orders endpoints for a prompt in a way that all instances of a zone agree on without messages.
 */
final class EndpointRanking {

    /**
     * The shared tokens for each generated one up to which a chat has a home in every zone. Reading
     * a token takes well below a hundredth of the time of generating one, so that reading these
     * again in each zone costs little, while a long stream that stays in its zone outlives the loss
     * of a link between zones.
     */
    private static final int MAXIMUM_SHARED_TOKENS_PER_OUTPUT_TOKEN = 8;

    /** Not to be created. */
    private EndpointRanking() {}

    /**
     * Orders endpoints for a prompt.
     *
     * @param endpoints The endpoints.
     * @param prompt The prompt, which names at least one part.
     * @param zone The zone of the instance.
     * @return The endpoints, the home first.
     */
    static List<ServingEndpoint> rank(List<ServingEndpoint> endpoints, Prompt prompt, String zone) {
        List<ServingEndpoint> order = rank(endpoints, prompt.lastSharedPart().orElseThrow());
        if (!hasHomePerZone(prompt)) {
            return order;
        }
        return order.stream()
                .sorted(Comparator.comparing(endpoint -> !endpoint.zone().equals(zone)))
                .toList();
    }

    /**
     * Orders endpoints for a prompt part.
     *
     * @param endpoints The endpoints.
     * @param part The prompt part.
     * @return The endpoints, the home first.
     */
    static List<ServingEndpoint> rank(List<ServingEndpoint> endpoints, PromptPart part) {
        List<String> ids =
                RendezvousOrder.order(
                        part.id(), endpoints.stream().map(ServingEndpoint::id).toList());
        return endpoints.stream()
                .sorted(Comparator.comparingInt(endpoint -> ids.indexOf(endpoint.id())))
                .toList();
    }

    /**
     * Returns {@code true} if a chat has a home in every zone.
     *
     * @param prompt The prompt.
     * @return {@code true} if the chat has a home in every zone.
     */
    private static boolean hasHomePerZone(Prompt prompt) {
        long shared = prompt.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
        return shared <= (long) MAXIMUM_SHARED_TOKENS_PER_OUTPUT_TOKEN * prompt.outputTokens();
    }
}
