package io.chicorytrestle.core.placement;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks endpoints for a prompt by rendezvous hashing, so that all instances of a zone get the same
 * order without exchanging messages.
 */
final class EndpointRanking {

    /**
     * The ratio of shared tokens to generated tokens up to which a chat has a home in every zone.
     * The prefill of a token takes well below a hundredth of the time of generating one, so that
     * another prefill in each zone costs little, while a long stream that stays in its zone
     * survives the loss of a link between zones.
     */
    private static final int MAXIMUM_SHARED_TOKENS_PER_OUTPUT_TOKEN = 8;

    /** Prevents instantiation. */
    private EndpointRanking() {}

    /**
     * Ranks endpoints for a prompt. If the chat has a home in every zone, the endpoints of the own
     * zone come first.
     *
     * @param endpoints The endpoints.
     * @param prompt The prompt, which names at least one part.
     * @param zone The zone of this instance.
     * @return The endpoints, the home first.
     */
    static List<ServingEndpoint> rank(List<ServingEndpoint> endpoints, Prompt prompt, String zone) {
        List<ServingEndpoint> ranked = rank(endpoints, prompt.lastSharedPart().orElseThrow());
        if (!hasHomePerZone(prompt)) {
            return ranked;
        }
        return ranked.stream()
                .sorted(Comparator.comparing(endpoint -> !endpoint.zone().equals(zone)))
                .toList();
    }

    /**
     * Ranks endpoints for a prompt part, without regard to zones.
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
     * Returns {@code true} if a chat has a home in every zone, since its shared prompt is short for
     * its output.
     *
     * @param prompt The prompt.
     * @return {@code true} if the chat has a home in every zone.
     */
    private static boolean hasHomePerZone(Prompt prompt) {
        long shared = prompt.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
        return shared <= (long) MAXIMUM_SHARED_TOKENS_PER_OUTPUT_TOKEN * prompt.outputTokens();
    }
}
