package io.chicorytrestle.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The keys that authenticate placement tokens. The first key signs and all keys verify, so that
 * keys can be rotated without refusing valid tokens.
 */
public final class PlacementKeys {

    /** No keys: no token is issued and every token is invalid. */
    public static final PlacementKeys NONE = new PlacementKeys(List.of());

    /** The minimum number of characters of a secret. */
    private static final int MINIMUM_SECRET_LENGTH = 16;

    /** The largest key identifier, which a token stores in one byte. */
    private static final int MAXIMUM_ID = 255;

    /** The keys, the signing one first. */
    private final List<Key> keys;

    /** The message authentication functions by key identifier. */
    private final Map<Integer, HashFunction> functionsByKeyId;

    /**
     * Creates a set of keys.
     *
     * @param keys The keys, the signing one first.
     */
    private PlacementKeys(List<Key> keys) {
        this.keys = List.copyOf(keys);
        functionsByKeyId = keys.stream().collect(Collectors.toMap(Key::id, Key::function));
    }

    /**
     * Returns a set of keys.
     *
     * @param keys The keys, the signing one first, with distinct identifiers.
     * @return The keys.
     */
    public static PlacementKeys of(List<Key> keys) {
        return new PlacementKeys(keys);
    }

    /**
     * Returns the key that signs new tokens.
     *
     * @return The key, or empty if there is none.
     */
    Optional<Key> signingKey() {
        return keys.stream().findFirst();
    }

    /**
     * Returns the message authentication function of a key.
     *
     * @param id The key's identifier.
     * @return The function, or empty if the key is unknown.
     */
    Optional<HashFunction> function(int id) {
        return Optional.ofNullable(functionsByKeyId.get(id));
    }

    /**
     * One key.
     *
     * @param id The identifier that tokens carry, from 0 to 255.
     * @param secret The secret, which all entry instances share.
     */
    public record Key(int id, String secret) {

        /**
         * Creates a new key.
         *
         * @param id The identifier that tokens carry.
         * @param secret The secret, which all entry instances share.
         * @throws IllegalArgumentException If the identifier is out of range or the secret is too
         *     short.
         */
        public Key {
            if (id < 0 || id > MAXIMUM_ID) {
                throw new IllegalArgumentException(
                        "Identifier of placement key must be from 0 to 255: " + id);
            }
            if (secret.length() < MINIMUM_SECRET_LENGTH) {
                throw new IllegalArgumentException(
                        "Secret must have at least 16 characters for placement key: " + id);
            }
        }

        /**
         * Returns the message authentication function of this key.
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
