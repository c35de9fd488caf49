package io.chicorytrestle.peer;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.chicorytrestle.core.identity.Names;
import java.nio.charset.StandardCharsets;

/**
 * A secret key that entry instances share to authenticate each other.
 *
 * @param id The key's name, which is sent in clear text.
 * @param secret The secret, which is neither sent nor logged.
 */
public record PeerKey(String id, String secret) {

    /** The minimum length of a secret in characters. */
    public static final int MINIMUM_SECRET_LENGTH = 16;

    /**
     * Creates a new key.
     *
     * @throws IllegalArgumentException If the name is malformed or the secret is too short.
     */
    public PeerKey {
        Names.require("peer key", id);
        if (secret.length() < MINIMUM_SECRET_LENGTH) {
            throw new IllegalArgumentException("Cannot use short secret of peer key: " + id);
        }
    }

    /**
     * Computes a message authentication code (MAC) with this key.
     *
     * @param purpose The purpose of the MAC, so that a MAC for one purpose is invalid for another.
     * @param parts The data to authenticate; each part is prefixed with its length.
     * @return The MAC.
     */
    HashCode mac(String purpose, byte[]... parts) {
        Hasher hasher =
                Hashing.hmacSha256(secret.getBytes(StandardCharsets.UTF_8))
                        .newHasher()
                        .putString(purpose, StandardCharsets.UTF_8);
        for (byte[] part : parts) {
            hasher.putInt(part.length).putBytes(part);
        }
        return hasher.hash();
    }

    @Override
    public String toString() {
        return "PeerKey[" + id + "]";
    }
}
