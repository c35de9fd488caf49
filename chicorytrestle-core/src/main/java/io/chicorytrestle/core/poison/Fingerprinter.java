package io.chicorytrestle.core.poison;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes fingerprints with a secret key, so that no caller can choose a request whose fingerprint
 * equals that of somebody else's.
 */
public final class Fingerprinter {

    /** The keyed hash. */
    private final HashFunction function;

    /**
     * Creates a new fingerprinter.
     *
     * @param key The secret key that the entry instances share.
     */
    public Fingerprinter(byte[] key) {
        function = Hashing.hmacSha256(key);
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace The workspace that calls.
     * @param contents The parts of the request's content, in a fixed order.
     * @return The fingerprint.
     */
    public Fingerprint of(String workspace, String... contents) {
        Hasher hasher = function.newHasher();
        putWithLength(hasher, workspace);
        for (String content : contents) {
            putWithLength(hasher, content);
        }
        return new Fingerprint(workspace, hasher.hash().toString());
    }

    /**
     * Adds a text and its length, so that no two lists of texts look the same.
     *
     * @param hasher The hasher.
     * @param text The text.
     */
    private static void putWithLength(Hasher hasher, String text) {
        hasher.putInt(text.length());
        hasher.putString(text, StandardCharsets.UTF_8);
    }
}
