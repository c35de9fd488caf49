package io.chicorytrestle.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds the endpoint from whose KV cache the chosen endpoint can fetch the prompt parts that it
 * lacks. A fetch costs far less than another prefill of the tokens, and nothing if the chosen
 * endpoint lacks no part.
 */
final class FetchSourceFinder {

    /** Records which endpoint processed which prompt part last. */
    private final PromptPartTracker promptPartTracker;

    /** The zone of this instance. */
    private final String zone;

    /**
     * Creates a new finder.
     *
     * @param promptPartTracker Records which endpoint processed which prompt part last.
     * @param zone The zone of this instance.
     */
    FetchSourceFinder(PromptPartTracker promptPartTracker, String zone) {
        this.promptPartTracker = promptPartTracker;
        this.zone = zone;
    }

    /**
     * Finds the endpoint to fetch from. Tries the previous home, the last known holder, the home
     * without regard to zones and the home of the first part, in this order.
     *
     * @param view The known endpoints.
     * @param ready The endpoints of the service that may accept work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
     * @param nowMillis The current time in milliseconds.
     * @return The address, or empty if the chosen endpoint most likely holds every part that
     *     another does.
     */
    Optional<String> find(
            ServingView view,
            List<ServingEndpoint> ready,
            Prompt prompt,
            ServingEndpoint chosen,
            long nowMillis) {
        return previousHome(view, ready, prompt, chosen)
                .or(() -> promptPartTracker.findOtherHolder(prompt, chosen, nowMillis))
                .or(() -> zoneIndependentHome(ready, prompt, chosen))
                .or(() -> firstPartHome(ready, prompt, chosen));
    }

    /**
     * Finds the home that the last shared part had before the latest endpoints joined or left.
     *
     * @param view The known endpoints.
     * @param ready The endpoints of the service that may accept work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
     * @return The address, or empty if the home has not changed.
     */
    private Optional<String> previousHome(
            ServingView view, List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        List<ServingEndpoint> previous = new ArrayList<>();
        for (ServingEndpoint endpoint : ready) {
            if (!view.recentlyJoined().contains(endpoint.incarnation())) {
                previous.add(endpoint);
            }
        }
        for (ServingEndpoint endpoint : view.leaving()) {
            if (endpoint.service().equals(chosen.service())) {
                previous.add(endpoint);
            }
        }
        return firstUnlessChosen(EndpointRanking.rank(previous, prompt, zone), chosen);
    }

    /**
     * Finds the home of the last shared part without regard to zones, which is a possible holder if
     * the chat has a home in every zone.
     *
     * @param ready The endpoints of the service that may accept work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
     * @return The address, or empty if the home is the chosen endpoint.
     */
    private static Optional<String> zoneIndependentHome(
            List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        return prompt.lastSharedPart()
                .flatMap(part -> firstUnlessChosen(EndpointRanking.rank(ready, part), chosen));
    }

    /**
     * Finds the home of the first shared part, such as a system prompt that many chats begin with.
     *
     * @param ready The endpoints of the service that may accept work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
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
     * Returns the address of the first endpoint of a ranking unless it is the chosen one.
     *
     * @param ranked The endpoints, the home first.
     * @param chosen The endpoint that will process the prompt.
     * @return The address, or empty if there is none or it is the chosen endpoint.
     */
    private static Optional<String> firstUnlessChosen(
            List<ServingEndpoint> ranked, ServingEndpoint chosen) {
        return ranked.stream()
                .findFirst()
                .filter(home -> !home.incarnation().equals(chosen.incarnation()))
                .map(ServingEndpoint::address);
    }
}
