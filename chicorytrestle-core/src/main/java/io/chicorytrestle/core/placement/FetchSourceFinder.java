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

    /** Determines the homes of prompts. */
    private final EndpointRanking ranking;

    /**
     * Creates a new finder.
     *
     * @param promptPartTracker Records which endpoint processed which prompt part last.
     * @param ranking Determines the homes of prompts.
     */
    FetchSourceFinder(PromptPartTracker promptPartTracker, EndpointRanking ranking) {
        this.promptPartTracker = promptPartTracker;
        this.ranking = ranking;
    }

    /**
     * Finds the endpoint to fetch from. Tries the known holders, the previous home, the home
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
        List<ServingEndpoint> sources = new ArrayList<>(ready);
        sources.addAll(view.leaving());
        return promptPartTracker
                .findOtherHolder(prompt, chosen, sources, nowMillis)
                .or(() -> previousHome(view, ready, prompt, chosen))
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
        return addressUnlessChosen(ranking.home(previous, prompt), chosen);
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
    private Optional<String> zoneIndependentHome(
            List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        return prompt.lastSharedPart()
                .flatMap(part -> addressUnlessChosen(ranking.home(ready, part), chosen));
    }

    /**
     * Finds the home of the first shared part, such as a system prompt that many chats begin with.
     *
     * @param ready The endpoints of the service that may accept work.
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
     * @return The address, or empty if it is the chosen endpoint.
     */
    private Optional<String> firstPartHome(
            List<ServingEndpoint> ready, Prompt prompt, ServingEndpoint chosen) {
        return prompt.sharedParts().isEmpty()
                ? Optional.empty()
                : addressUnlessChosen(ranking.home(ready, prompt.sharedParts().get(0)), chosen);
    }

    /**
     * Returns the address of a home unless it is the chosen endpoint.
     *
     * @param home The home, or empty if there is none.
     * @param chosen The endpoint that will process the prompt.
     * @return The address, or empty if there is none or it is the chosen endpoint.
     */
    private static Optional<String> addressUnlessChosen(
            Optional<ServingEndpoint> home, ServingEndpoint chosen) {
        return home.filter(endpoint -> !endpoint.incarnation().equals(chosen.incarnation()))
                .map(ServingEndpoint::address);
    }
}
