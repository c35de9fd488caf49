package io.chicorytrestle.peer;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.chicorytrestle.core.identity.Names;
import java.nio.charset.StandardCharsets;

/**
 * Holds a key that entry instances share.
 *
 * @param id The key's name, which is sent in the clear.
 * @param secret The secret, which is never sent nor logged.
 */
public record PeerKey(String id, String secret) {

    /** The fewest characters of a secret. */
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
     * Returns a code that only holders of this key can compute.
     *
     * @param purpose What the code is for, so that codes for one purpose do not fit another.
     * @param parts The bytes that the code covers.
     * @return The code.
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
