package io.chicorytrestle.core.poison;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes fingerprints with a secret key, so that no caller can construct a request with the same
 * fingerprint as one of another workspace.
 */
public final class Fingerprinter {

    /** The HMAC with the secret key. */
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
     * @param workspace The name of the calling workspace.
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
     * Adds the length of a string and the string, so that different lists of strings never hash the
     * same input.
     *
     * @param hasher The hasher.
     * @param text The string.
     */
    private static void putWithLength(Hasher hasher, String text) {
        hasher.putInt(text.length());
        hasher.putString(text, StandardCharsets.UTF_8);
    }
}
