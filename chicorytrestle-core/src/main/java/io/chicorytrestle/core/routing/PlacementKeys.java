package io.chicorytrestle.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Holds the keys that authenticate placement tokens. The first one signs; all of them verify, so
 * that keys are rotated without refusing tokens.
 */
public final class PlacementKeys {

    /** No keys: no token is handed out and none is believed. */
    public static final PlacementKeys NONE = new PlacementKeys(List.of());

    /** The fewest characters of a secret. */
    private static final int MINIMUM_SECRET_LENGTH = 16;

    /** The largest identifier of a key. */
    private static final int MAXIMUM_ID = 255;

    /** The keys, the signing one first. */
    private final List<Key> keys;

    /** The functions by the identifiers of their keys. */
    private final Map<Integer, HashFunction> functionsByKeyId;

    /**
     * Creates new keys.
     *
     * @param keys The keys, the signing one first.
     */
    private PlacementKeys(List<Key> keys) {
        this.keys = List.copyOf(keys);
        functionsByKeyId = keys.stream().collect(Collectors.toMap(Key::id, Key::function));
    }

    /**
     * Returns the given keys.
     *
     * @param keys The keys, the signing one first, each with an identifier of its own.
     * @return The keys.
     */
    public static PlacementKeys of(List<Key> keys) {
        return new PlacementKeys(keys);
    }

    /**
     * Returns the key that signs.
     *
     * @return The key, or empty if there is none.
     */
    Optional<Key> signingKey() {
        return keys.stream().findFirst();
    }

    /**
     * Returns the function of a key.
     *
     * @param id The key's identifier.
     * @return The function, or empty if the key is unknown.
     */
    Optional<HashFunction> function(int id) {
        return Optional.ofNullable(functionsByKeyId.get(id));
    }

    /**
     * Holds one key.
     *
     * @param id The identifier by which tokens name the key, from 0 to 255.
     * @param secret The secret, which all entry instances share.
     */
    public record Key(int id, String secret) {

        /**
         * Creates a new key.
         *
         * @param id The identifier by which tokens name the key.
         * @param secret The secret, which all entry instances share.
         * @throws IllegalArgumentException If the identifier is out of range or the secret short.
         */
        public Key {
            if (id < 0 || id > MAXIMUM_ID) {
                throw new IllegalArgumentException("Cannot use identifier of key: " + id);
            }
            if (secret.length() < MINIMUM_SECRET_LENGTH) {
                throw new IllegalArgumentException("Cannot use short secret of key: " + id);
            }
        }

        /**
         * Returns the function that authenticates with this key.
         *
         * @return The function.
         */
        HashFunction function() {
            return Hashing.hmacSha256(secret.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public String toString() {
            return "Key[id=" + id + "]";
        }
    }
}
