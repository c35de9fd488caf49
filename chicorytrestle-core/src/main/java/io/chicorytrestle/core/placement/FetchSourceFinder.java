package io.chicorytrestle.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds the endpoint from whose KV cache the chosen one can fetch what it lacks of a prompt. A
 * fetch costs far less than reading the tokens again, and nothing if the chosen one lacks nothing.
 */
final class FetchSourceFinder {

    /** Remembers who read prompt parts. */
    private final PromptPartTracker holders;

    /** The zone of the instance. */
    private final String zone;

    /**
     * Creates a new source.
     *
     * @param holders Remembers who read prompt parts.
     * @param zone The zone of the instance.
     */
    FetchSourceFinder(PromptPartTracker holders, String zone) {
        this.holders = holders;
        this.zone = zone;
    }

    /**
     * Finds the endpoint to fetch from.
     *
     * @param view The known endpoints.
     * @param ready The endpoints of the service that may take work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will read the prompt.
     * @param nowMillis The present time in milliseconds.
     * @return The address, or empty if the chosen endpoint most likely holds all that others do.
     */
    Optional<String> find(
            ServingView view,
            List<ServingEndpoint> ready,
            Prompt prompt,
            ServingEndpoint chosen,
            long nowMillis) {
        return previousHome(view, ready, prompt, chosen)
                .or(() -> holders.findOtherHolder(prompt, chosen, nowMillis))
                .or(() -> zoneIndependentHome(ready, prompt, chosen))
                .or(() -> firstPartHome(ready, prompt, chosen));
    }

    /**
     * Finds the home that the last shared part had before endpoints joined and left.
     *
     * @param view The known endpoints.
     * @param ready The endpoints of the service that may take work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will read the prompt.
     * @return The address, or empty if the home is the same.
     */
    private Optional<String> previousHome(
            ServingView view, List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        List<ServingEndpoint> earlier = new ArrayList<>();
        for (ServingEndpoint endpoint : ready) {
            if (!view.recentlyJoined().contains(endpoint.incarnation())) {
                earlier.add(endpoint);
            }
        }
        for (ServingEndpoint endpoint : view.leaving()) {
            if (endpoint.service().equals(chosen.service())) {
                earlier.add(endpoint);
            }
        }
        return firstUnlessChosen(EndpointRanking.rank(earlier, prompt, zone), chosen);
    }

    /**
     * Finds the home that the last shared part would have without regard to zones, which serves it
     * where a chat has a home in every zone.
     *
     * @param ready The endpoints of the service that may take work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will read the prompt.
     * @return The address, or empty if the home is the chosen endpoint.
     */
    private static Optional<String> zoneIndependentHome(
            List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        return prompt.lastSharedPart()
                .flatMap(part -> firstUnlessChosen(EndpointRanking.rank(ready, part), chosen));
    }

    /**
     * Finds the home of the first shared part, which many chats begin with.
     *
     * @param ready The endpoints of the service that may take work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will read the prompt.
     * @return The address, or empty if it is the chosen endpoint.
     */
    private static Optional<String> firstPartHome(
            List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        return prompt.sharedParts().isEmpty()
                ? Optional.empty()
                : firstUnlessChosen(
                        EndpointRanking.rank(ready, prompt.sharedParts().get(0)), chosen);
    }

    /**
     * Returns the first endpoint of an order unless it is the chosen one.
     *
     * @param order The endpoints, the home first.
     * @param chosen The endpoint that will read the prompt.
     * @return The address, or empty if there is none or it is the chosen endpoint.
     */
    private static Optional<String> firstUnlessChosen(
            List<ServingEndpoint> order, ServingEndpoint chosen) {
        return order.stream()
                .findFirst()
                .filter(home -> !home.incarnation().equals(chosen.incarnation()))
                .map(ServingEndpoint::address);
    }
}
