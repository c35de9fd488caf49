package io.chicorytrestle.peer;

import com.google.common.hash.Hashing;
import java.security.MessageDigest;
import java.util.Arrays;

/**
 * Authenticates the frames of one direction of a connection by truncated HMAC-SHA-256. Not
 * thread-safe.
 */
final class FrameAuthenticator {

    /** The length of a frame's message authentication code (MAC) in bytes. */
    static final int MAC_BYTES = 12;

    /** The key for this direction of the connection. */
    private final byte[] key;

    /** The number of the next frame, which the MAC covers but which isn't sent. */
    private long sequence;

    /**
     * Creates a new authenticator that starts with frame zero.
     *
     * @param key The key for this direction of the connection.
     */
    FrameAuthenticator(byte[] key) {
        this.key = key.clone();
    }

    /**
     * Appends the MAC to a frame's content and advances to the next frame.
     *
     * @param content The frame's content.
     * @return The content followed by its MAC.
     */
    byte[] appendMac(byte[] content) {
        byte[] frame = Arrays.copyOf(content, content.length + MAC_BYTES);
        System.arraycopy(nextMac(content), 0, frame, content.length, MAC_BYTES);
        return frame;
    }

    /**
     * Verifies the MAC of a frame, removes it and advances to the next frame.
     *
     * @param frame The content followed by its MAC.
     * @return The frame's content.
     * @throws PeerRejectedException If the frame is forged, repeated or out of order.
     */
    byte[] verifyMac(byte[] frame) throws PeerRejectedException {
        int length = frame.length - MAC_BYTES;
        if (length < 0) {
            throw new PeerRejectedException("Cannot read frame without code");
        }
        byte[] content = Arrays.copyOf(frame, length);
        byte[] mac = Arrays.copyOfRange(frame, length, frame.length);
        if (!MessageDigest.isEqual(mac, nextMac(content))) {
            throw new PeerRejectedException("Cannot authenticate frame of bytes: " + length);
        }
        return content;
    }

    /**
     * Computes the MAC of the next frame and advances the frame number.
     *
     * @param content The frame's content.
     * @return The truncated MAC.
     */
    private byte[] nextMac(byte[] content) {
        byte[] mac =
                Hashing.hmacSha256(key)
                        .newHasher()
                        .putLong(sequence)
                        .putBytes(content)
                        .hash()
                        .asBytes();
        sequence++;
        return Arrays.copyOf(mac, MAC_BYTES);
    }
}
