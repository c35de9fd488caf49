package io.chicorytrestle.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.identity.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/**
 * Orders endpoints for a chat by weighted rendezvous hashing. Every entry instance computes the
 * same order without shared state, each endpoint comes first for a fraction of the chats
 * proportional to its capacity, and an endpoint that joins or leaves moves only its own chats.
 */
public final class RendezvousOrder {

    /** The hash function that all entry instances share. */
    private static final HashFunction HASH_FUNCTION = Hashing.murmur3_128();

    /** The number of bits of a hash that exceed the precision of a double. */
    private static final int SURPLUS_BITS = 11;

    /** The distance between adjacent doubles from one half to one. */
    private static final double DOUBLE_SPACING = 0x1.0p-53;

    /** The endpoints with the hashes of their names. */
    private final List<HashedEndpoint> endpoints;

    /**
     * Creates a new order.
     *
     * @param endpoints The endpoints with the hashes of their names.
     */
    private RendezvousOrder(List<HashedEndpoint> endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Returns the order of the given endpoints.
     *
     * @param endpoints The endpoints in any order.
     * @return The order.
     */
    public static RendezvousOrder of(List<Endpoint> endpoints) {
        return new RendezvousOrder(
                endpoints.stream()
                        .map(endpoint -> new HashedEndpoint(endpoint, hash(endpoint.name())))
                        .toList());
    }

    /**
     * Orders the endpoints for a chat.
     *
     * @param chatHash The hash of the chat.
     * @return The endpoints, the preferred one first.
     */
    public List<Endpoint> order(long chatHash) {
        return endpoints.stream()
                .map(hashed -> new ScoredEndpoint(hashed.endpoint, hashed.score(chatHash)))
                .sorted(Comparator.comparingDouble(ScoredEndpoint::score).reversed())
                .map(ScoredEndpoint::endpoint)
                .toList();
    }

    /**
     * Orders names by rendezvous hashing for a key, without weights.
     *
     * @param key The key, such as the name of a pool.
     * @param names The names in any order.
     * @return The names, the preferred one first.
     */
    public static List<String> order(String key, List<String> names) {
        long hash = hash(key);
        return names.stream()
                .sorted(
                        Comparator.comparingLong((String name) -> combineHashes(hash, hash(name)))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * Hashes a chat.
     *
     * @param chat The chat.
     * @return The hash.
     */
    public static long hash(ChatKey chat) {
        return hash(chat.workspace() + '/' + chat.chat());
    }

    /**
     * Hashes a text.
     *
     * @param text The text.
     * @return The hash.
     */
    private static long hash(String text) {
        return HASH_FUNCTION.hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Combines two hashes into one.
     *
     * @param first The first hash.
     * @param second The second hash.
     * @return The combined hash.
     */
    private static long combineHashes(long first, long second) {
        return HASH_FUNCTION.newHasher().putLong(first).putLong(second).hash().asLong();
    }

    /**
     * An endpoint with the hash of its name.
     *
     * @param endpoint The endpoint.
     * @param hash The hash of its name.
     */
    private record HashedEndpoint(Endpoint endpoint, long hash) {

        /**
         * Returns the score of the endpoint for a chat.
         *
         * @param chatHash The hash of the chat.
         * @return The score; the endpoint with the largest one is preferred.
         */
        private double score(long chatHash) {
            double uniform =
                    ((combineHashes(chatHash, hash) >>> SURPLUS_BITS) + 1) * DOUBLE_SPACING;
            return -endpoint.capacity() / Math.log(Math.min(uniform, 1 - DOUBLE_SPACING));
        }
    }

    /**
     * An endpoint with its score for a chat.
     *
     * @param endpoint The endpoint.
     * @param score The score.
     */
    private record ScoredEndpoint(Endpoint endpoint, double score) {}
}
