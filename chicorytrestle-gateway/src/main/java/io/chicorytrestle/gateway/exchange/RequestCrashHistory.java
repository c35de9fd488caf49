package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.route.Workspace;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Tells what is held against one request. Its content is hashed only once something is held against
 * any request. It is confined to the event loop's thread.
 */
final class RequestCrashHistory {

    /** The bytes of the hash that are kept, too many to find an equal one of another workspace. */
    private static final int HASH_BYTES = 12;

    /** What is held against requests. */
    private final CrashTracker tracker;

    /** The workspace, if any. */
    private final Optional<Workspace> workspace;

    /** The head as the caller sent it. */
    private final HttpRequest head;

    /** The body. */
    private final byte[] body;

    /** The hash of the content, or null before it was needed. */
    private @Nullable String cachedFingerprint;

    /**
     * Creates a new suspicion.
     *
     * @param book What is held against requests.
     * @param workspace The workspace, if any.
     * @param head The head as the caller sent it.
     * @param body The body.
     */
    RequestCrashHistory(
            CrashTracker book, Optional<Workspace> workspace, HttpRequest head, byte[] body) {
        this.tracker = book;
        this.workspace = workspace;
        this.head = head;
        this.body = body;
    }

    /**
     * Returns {@code true} if the request must not run now.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the request must not run now.
     */
    boolean isQuarantined(long nowMillis) {
        return !tracker.isEmpty() && tracker.isQuarantined(fingerprint(), nowMillis);
    }

    /**
     * Takes note of an endpoint that broke the connection on which it ran the request.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The present time in milliseconds.
     * @return The endpoints that crashed under requests of the same content.
     */
    int recordCrash(String incarnation, long nowMillis) {
        tracker.recordCrash(fingerprint(), incarnation, nowMillis);
        return tracker.crashCount(fingerprint());
    }

    /**
     * Takes note of a request that ran whole.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void recordSuccess(long nowMillis) {
        if (!tracker.isEmpty()) {
            tracker.recordCompletion(fingerprint(), nowMillis);
        }
    }

    /**
     * Returns the hash of the request's content and workspace.
     *
     * @return The hash in hexadecimal digits.
     * @throws IllegalStateException Never, since each runtime knows the hash function.
     */
    private String fingerprint() {
        String known = cachedFingerprint;
        if (known != null) {
            return known;
        }
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            updateWithLength(digest, workspace.map(Workspace::name).orElse(""));
            updateWithLength(digest, head.method().name());
            updateWithLength(digest, head.uri());
            digest.update(body);
            known = HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
            cachedFingerprint = known;
            return known;
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("Hash function is missing", exception);
        }
    }

    /**
     * Adds a text and its length, so that no two lists of texts look the same.
     *
     * @param digest Takes the text.
     * @param text The text.
     */
    private static void updateWithLength(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
