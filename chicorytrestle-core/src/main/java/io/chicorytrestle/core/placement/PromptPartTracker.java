package io.chicorytrestle.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which endpoint read a shared prompt part last, so that another endpoint can fetch the
 * part from its KV cache. It is confined to one thread.
 */
public final class PromptPartTracker {

    /** The most parts that are remembered: several times the sessions of a busy site. */
    private static final int MAXIMUM_PARTS = 4_096;

    /** The age in milliseconds beyond which a part is assumed to have been evicted. */
    private static final long EVICTION_AGE_MILLIS = 30_000;

    /** The last reader of each part, in order of use. */
    private final Map<String, Holder> holders =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Holder> eldest) {
                    return size() > MAXIMUM_PARTS;
                }
            };

    /**
     * Takes note of an endpoint that read a prompt.
     *
     * @param prompt The prompt.
     * @param endpoint The endpoint.
     * @param nowMillis The present time in milliseconds.
     */
    public void recordRead(Prompt prompt, ServingEndpoint endpoint, long nowMillis) {
        for (PromptPart part : prompt.sharedParts()) {
            holders.put(key(prompt, part), new Holder(endpoint, nowMillis));
        }
    }

    /**
     * Returns the address of another endpoint that holds most of a prompt.
     *
     * @param prompt The prompt.
     * @param chosen The endpoint that will read the prompt.
     * @param nowMillis The present time in milliseconds.
     * @return The address, or empty if no other endpoint is known to hold a shared part.
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
     * Forgets what an endpoint held.
     *
     * @param incarnation The incarnation that is gone.
     */
    public void removeEndpoint(String incarnation) {
        holders.values().removeIf(holder -> holder.endpoint().incarnation().equals(incarnation));
    }

    /**
     * Returns the key of a part, whose cached form depends on the model.
     *
     * @param prompt The prompt.
     * @param part The part.
     * @return The key.
     */
    private static String key(Prompt prompt, PromptPart part) {
        return prompt.model() + '/' + part.id();
    }

    /**
     * Holds the last reader of a part.
     *
     * @param endpoint The endpoint.
     * @param readMillis The time in milliseconds.
     */
    private record Holder(ServingEndpoint endpoint, long readMillis) {}
}
