package io.chicorytrestle.peer;

import com.google.common.hash.Hashing;
import java.security.MessageDigest;
import java.util.Arrays;

/** Authenticates the frames of one direction of a connection. It is confined to one thread. */
final class FrameAuthenticator {

    /** The bytes that authenticate a frame. */
    static final int MAC_BYTES = 12;

    /** The key of this direction of the connection. */
    private final byte[] key;

    /** The number of the next frame, which is not sent but covered. */
    private long sequence;

    /**
     * Creates a new seal.
     *
     * @param key The key of this direction of the connection.
     */
    FrameAuthenticator(byte[] key) {
        this.key = key.clone();
    }

    /**
     * Adds the code to a frame.
     *
     * @param content The frame's content.
     * @return The content followed by its code.
     */
    byte[] appendMac(byte[] content) {
        byte[] sealed = Arrays.copyOf(content, content.length + MAC_BYTES);
        System.arraycopy(nextMac(content), 0, sealed, content.length, MAC_BYTES);
        return sealed;
    }

    /**
     * Checks the code of a frame and removes it.
     *
     * @param sealed The content followed by its code.
     * @return The frame's content.
     * @throws PeerRejectedException If the frame is forged, repeated or out of order.
     */
    byte[] verifyMac(byte[] sealed) throws PeerRejectedException {
        int length = sealed.length - MAC_BYTES;
        if (length < 0) {
            throw new PeerRejectedException("Cannot read frame without code");
        }
        byte[] content = Arrays.copyOf(sealed, length);
        byte[] code = Arrays.copyOfRange(sealed, length, sealed.length);
        if (!MessageDigest.isEqual(code, nextMac(content))) {
            throw new PeerRejectedException("Cannot authenticate frame of bytes: " + length);
        }
        return content;
    }

    /**
     * Returns the code of the next frame.
     *
     * @param content The frame's content.
     * @return The code.
     */
    private byte[] nextMac(byte[] content) {
        byte[] code =
                Hashing.hmacSha256(key)
                        .newHasher()
                        .putLong(sequence)
                        .putBytes(content)
                        .hash()
                        .asBytes();
        sequence++;
        return Arrays.copyOf(code, MAC_BYTES);
    }
}
