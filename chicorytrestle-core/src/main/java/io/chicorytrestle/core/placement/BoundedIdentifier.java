package io.chicorytrestle.core.placement;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Bounds the length of identifiers that callers choose, so that what instances keep of them and
 * report to each other is bounded, too.
 */
public final class BoundedIdentifier {

    /** The number of characters up to which an identifier is kept as it is. */
    private static final int MAXIMUM_PLAIN_LENGTH = 64;

    /** Begins a digest, which is longer than any identifier that is kept as it is. */
    private static final char DIGEST_MARK = '#';

    /** The maximum number of characters of the result: the mark and 256 bits as hexadecimal. */
    static final int MAXIMUM_LENGTH = 1 + 64;

    /** Prevents instantiation. */
    private BoundedIdentifier() {}

    /**
     * Returns an identifier, or its digest if it is long. Digests equal each other where the
     * identifiers do, on all instances, and no identifier that is kept as it is.
     *
     * @param identifier The identifier.
     * @return The identifier, or a digest of {@link #MAXIMUM_LENGTH} characters.
     * @throws IllegalStateException Never, since every Java runtime provides SHA-256.
     */
    public static String of(String identifier) {
        if (identifier.length() <= MAXIMUM_PLAIN_LENGTH || isDigest(identifier)) {
            return identifier;
        }
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(identifier.getBytes(StandardCharsets.UTF_8));
            return DIGEST_MARK + HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is not available", exception);
        }
    }

    /**
     * Returns {@code true} if an identifier has the form of a digest, as in the messages of other
     * instances.
     *
     * @param identifier The identifier.
     * @return {@code true} if its length and its first character are those of a digest.
     */
    private static boolean isDigest(String identifier) {
        return identifier.length() == MAXIMUM_LENGTH && identifier.charAt(0) == DIGEST_MARK;
    }
}
