package io.chicorytrestle.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Records which endpoint processed each shared prompt part last, so that another endpoint can fetch
 * the part from its KV cache. This class is not thread-safe: it is confined to one thread.
 */
public final class PromptPartTracker {

    /**
     * The maximum number of recorded parts: several times the number of sessions of a busy site.
     */
    private static final int MAXIMUM_PARTS = 4_096;

    /** The age in milliseconds beyond which a part is assumed to have been evicted. */
    private static final long EVICTION_AGE_MILLIS = 30_000;

    /** The last holder of each part, least recently used first. */
    private final Map<String, Holder> holders =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Holder> eldest) {
                    return size() > MAXIMUM_PARTS;
                }
            };

    /**
     * Records an endpoint that processed a prompt and so holds its shared parts.
     *
     * @param prompt The prompt.
     * @param endpoint The endpoint.
     * @param nowMillis The current time in milliseconds.
     */
    public void recordRead(Prompt prompt, ServingEndpoint endpoint, long nowMillis) {
        for (PromptPart part : prompt.sharedParts()) {
            holders.put(key(prompt, part), new Holder(endpoint, nowMillis));
        }
    }

    /**
     * Returns the address of another endpoint that holds the longest known prefix of a prompt.
     *
     * @param prompt The prompt.
     * @param chosen The endpoint that will process the prompt.
     * @param nowMillis The current time in milliseconds.
     * @return The address, or empty if no holder is known or the chosen endpoint itself holds the
     *     longest prefix.
     */
    public Optional<String> findOtherHolder(Prompt prompt, ServingEndpoint chosen, long nowMillis) {
        List<PromptPart> parts = prompt.sharedParts();
        for (int index = parts.size() - 1; index >= 0; index--) {
            Holder holder = holders.get(key(prompt, parts.get(index)));
            if (holder != null && nowMillis - holder.readMillis() <= EVICTION_AGE_MILLIS) {
                return holder.endpoint().incarnation().equals(chosen.incarnation())
                        ? Optional.empty()
                        : Optional.of(holder.endpoint().address());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes an endpoint as the holder of all its parts.
     *
     * @param incarnation The incarnation that is gone.
     */
    public void removeEndpoint(String incarnation) {
        holders.values().removeIf(holder -> holder.endpoint().incarnation().equals(incarnation));
    }

    /**
     * Returns the map key of a part. It includes the model, since the cached form depends on it.
     *
     * @param prompt The prompt.
     * @param part The part.
     * @return The model and the identifier of the part, separated by a slash.
     */
    private static String key(Prompt prompt, PromptPart part) {
        return prompt.model() + '/' + part.id();
    }

    /**
     * Holds the endpoint that processed a part last.
     *
     * @param endpoint The endpoint.
     * @param readMillis The time of processing in milliseconds.
     */
    private record Holder(ServingEndpoint endpoint, long readMillis) {}
}
