package io.chicorytrestle.core.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Ranks endpoints for a prompt by rendezvous hashing, so that all instances of a zone get the same
 * order without exchanging messages. The hashes of the endpoints' identifiers are computed once.
 * This class is not thread-safe: it is confined to one thread.
 */
final class EndpointRanking {

    /**
     * The ratio of shared tokens to generated tokens up to which a chat has a home in every zone.
     * The prefill of a token takes well below a hundredth of the time of generating one, so that
     * another prefill in each zone costs little, while a long stream that stays in its zone
     * survives the loss of a link between zones.
     */
    private static final int MAXIMUM_SHARED_TOKENS_PER_OUTPUT_TOKEN = 8;

    /** The number of cached hashes from which the cache is emptied, since most are of the past. */
    private static final int MAXIMUM_CACHED_HASHES = 8_192;

    /** The number of bits by which MurmurHash3 shifts a number to mix it. */
    private static final int MIX_SHIFT_BITS = 33;

    /** The first factor with which MurmurHash3 mixes a number. */
    private static final long FIRST_MIX_FACTOR = 0xff51afd7ed558ccdL;

    /** The second factor with which MurmurHash3 mixes a number. */
    private static final long SECOND_MIX_FACTOR = 0xc4ceb9fe1a85ec53L;

    /** The zone of this instance. */
    private final String zone;

    /** The hashes of endpoints' identifiers. */
    private final Map<String, Long> identifierHashes = new HashMap<>();

    /**
     * Creates a ranking.
     *
     * @param zone The zone of this instance.
     */
    EndpointRanking(String zone) {
        this.zone = zone;
    }

    /**
     * Returns the endpoint that {@link #rank} would return first.
     *
     * @param endpoints The endpoints.
     * @param prompt The prompt, which names at least one part.
     * @return The home, or empty if there are no endpoints.
     */
    Optional<ServingEndpoint> home(List<ServingEndpoint> endpoints, Prompt prompt) {
        PromptPart part = prompt.lastSharedPart().orElseThrow();
        if (hasHomePerZone(prompt)) {
            Optional<ServingEndpoint> zoneHome = home(endpoints, part, true);
            if (zoneHome.isPresent()) {
                return zoneHome;
            }
        }
        return home(endpoints, part);
    }

    /**
     * Returns the first endpoint for a prompt part, without regard to zones.
     *
     * @param endpoints The endpoints.
     * @param part The prompt part.
     * @return The home, or empty if there are no endpoints.
     */
    Optional<ServingEndpoint> home(List<ServingEndpoint> endpoints, PromptPart part) {
        return home(endpoints, part, false);
    }

    /**
     * Returns the first endpoint for a prompt part.
     *
     * @param endpoints The endpoints.
     * @param part The prompt part.
     * @param isOwnZoneOnly Whether the endpoints of other zones are left out.
     * @return The home, or empty if no endpoint is considered.
     */
    private Optional<ServingEndpoint> home(
            List<ServingEndpoint> endpoints, PromptPart part, boolean isOwnZoneOnly) {
        long partHash = hash(part.id());
        ServingEndpoint best = null;
        long bestScore = 0;
        for (ServingEndpoint endpoint : endpoints) {
            if (isOwnZoneOnly && !endpoint.zone().equals(zone)) {
                continue;
            }
            long score = score(partHash, endpoint);
            if (best == null
                    || score < bestScore
                    || (score == bestScore && endpoint.id().compareTo(best.id()) < 0)) {
                best = endpoint;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Ranks endpoints for a prompt. If the chat has a home in every zone, the endpoints of the own
     * zone come first.
     *
     * @param endpoints The endpoints.
     * @param prompt The prompt, which names at least one part.
     * @return The endpoints, the home first.
     */
    List<ServingEndpoint> rank(List<ServingEndpoint> endpoints, Prompt prompt) {
        long partHash = hash(prompt.lastSharedPart().orElseThrow().id());
        boolean prefersOwnZone = hasHomePerZone(prompt);
        List<ScoredEndpoint> scored = new ArrayList<>(endpoints.size());
        for (ServingEndpoint endpoint : endpoints) {
            boolean isPostponed = prefersOwnZone && !endpoint.zone().equals(zone);
            scored.add(new ScoredEndpoint(endpoint, isPostponed, score(partHash, endpoint)));
        }
        scored.sort(ScoredEndpoint.ORDER);
        List<ServingEndpoint> ranked = new ArrayList<>(scored.size());
        for (ScoredEndpoint endpoint : scored) {
            ranked.add(endpoint.endpoint());
        }
        return ranked;
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

    /**
     * Combines the hashes of a prompt part and an endpoint. Endpoints with a smaller score come
     * first.
     *
     * @param partHash The hash of the prompt part.
     * @param endpoint The endpoint.
     * @return The score, uniformly distributed.
     */
    private long score(long partHash, ServingEndpoint endpoint) {
        Long cached = identifierHashes.get(endpoint.id());
        if (cached == null) {
            if (identifierHashes.size() >= MAXIMUM_CACHED_HASHES) {
                identifierHashes.clear();
            }
            cached = hash(endpoint.id());
            identifierHashes.put(endpoint.id(), cached);
        }
        return mix(partHash ^ mix(cached));
    }

    /**
     * Hashes a text.
     *
     * @param text The text.
     * @return The hash.
     */
    private static long hash(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Spreads the bits of a number over all others, as the finalizer of MurmurHash3 does.
     *
     * @param number The number.
     * @return The mixed number.
     */
    private static long mix(long number) {
        long mixed = (number ^ (number >>> MIX_SHIFT_BITS)) * FIRST_MIX_FACTOR;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT_BITS)) * SECOND_MIX_FACTOR;
        return mixed ^ (mixed >>> MIX_SHIFT_BITS);
    }

    /**
     * Holds an endpoint with its score for a prompt.
     *
     * @param endpoint The endpoint.
     * @param isPostponed Whether the endpoint comes after all that are not postponed.
     * @param score The score.
     */
    private record ScoredEndpoint(ServingEndpoint endpoint, boolean isPostponed, long score) {

        /** The order of preference. */
        private static final Comparator<ScoredEndpoint> ORDER =
                Comparator.comparing(ScoredEndpoint::isPostponed)
                        .thenComparingLong(ScoredEndpoint::score)
                        .thenComparing(scored -> scored.endpoint().id());
    }
}
