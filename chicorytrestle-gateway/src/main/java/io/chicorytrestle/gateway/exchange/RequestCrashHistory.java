package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Prompt;
import io.chicorytrestle.core.placement.PromptPart;
import io.chicorytrestle.core.poison.CrashTracker;
import io.chicorytrestle.core.poison.PartCrashTracker;
import io.chicorytrestle.core.route.Workspace;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Records and looks up how often endpoints crashed while they executed requests with the same
 * content as a given request, or with one of its prompt parts. The content is not hashed and the
 * parts are not listed while no crash of any request is recorded. This class is not thread-safe: it
 * is confined to the event loop's thread.
 */
final class RequestCrashHistory {

    /**
     * The number of bytes of the hash that are kept, enough that a caller cannot find a request
     * with the same fingerprint as one of another workspace.
     */
    private static final int HASH_BYTES = 12;

    /** The recorded crashes by the fingerprint of the request. */
    private final CrashTracker tracker;

    /** The recorded crashes by prompt part. */
    private final PartCrashTracker partTracker;

    /** The prompt, or empty if the request is no model request. */
    private final Optional<Prompt> prompt;

    /** The workspace, or empty if the caller has none. */
    private final Optional<Workspace> workspace;

    /** The request line and headers as the caller sent them. */
    private final HttpRequest head;

    /** The body as the caller sent it. */
    private final byte[] body;

    /** The fingerprint, or {@code null} before it was needed. */
    private @Nullable String cachedFingerprint;

    /**
     * Creates a history for one request.
     *
     * @param tracker The recorded crashes by the fingerprint of the request.
     * @param partTracker The recorded crashes by prompt part.
     * @param prompt The prompt, or empty if the request is no model request.
     * @param workspace The workspace, or empty if the caller has none.
     * @param head The request line and headers as the caller sent them.
     * @param body The body as the caller sent it.
     */
    RequestCrashHistory(
            CrashTracker tracker,
            PartCrashTracker partTracker,
            Optional<Prompt> prompt,
            Optional<Workspace> workspace,
            HttpRequest head,
            byte[] body) {
        this.tracker = tracker;
        this.partTracker = partTracker;
        this.prompt = prompt;
        this.workspace = workspace;
        this.head = head;
        this.body = body;
    }

    /**
     * Returns {@code true} if endpoints crashed so often under requests with this content, or with
     * a part of this prompt, that none may be executed now.
     *
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the request must be refused.
     */
    boolean isQuarantined(long nowMillis) {
        return quarantinedPart(nowMillis).isPresent()
                || (!tracker.isEmpty() && tracker.isQuarantined(fingerprint(), nowMillis));
    }

    /**
     * Returns the prompt part because of which the request must be refused.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The identifier of the part, or empty if no part forbids the request.
     */
    Optional<String> quarantinedPart(long nowMillis) {
        return partTracker.isEmpty()
                ? Optional.empty()
                : partTracker.findQuarantined(sharedParts(), nowMillis);
    }

    /**
     * Returns the identifiers of the prompt parts that other requests may share.
     *
     * @return The identifiers, none if the request is no model request.
     */
    private List<String> sharedParts() {
        return prompt.stream()
                .flatMap(described -> described.sharedParts().stream())
                .map(PromptPart::id)
                .toList();
    }

    /**
     * Records that an endpoint's connection broke while the request ran on it.
     *
     * @param incarnation The incarnation of the endpoint.
     * @param nowMillis The current time in milliseconds.
     * @return The number of endpoints that crashed under requests with the same content.
     */
    int recordCrash(String incarnation, long nowMillis) {
        partTracker.recordCrash(sharedParts(), incarnation, nowMillis);
        tracker.recordCrash(fingerprint(), incarnation, nowMillis);
        return tracker.crashCount(fingerprint());
    }

    /**
     * Records that the request was answered. Only a success clears crashes: an endpoint may fail a
     * request before it begins to run it.
     *
     * @param isSuccess Whether the status of the response is a success.
     * @param nowMillis The current time in milliseconds.
     */
    void recordResponse(boolean isSuccess, long nowMillis) {
        if (!isSuccess) {
            return;
        }
        partTracker.recordCompletion(partTracker.isEmpty() ? List.of() : sharedParts(), nowMillis);
        if (!tracker.isEmpty()) {
            tracker.recordCompletion(fingerprint(), nowMillis);
        }
    }

    /**
     * Returns the hash of the workspace, the method, the target and the body, computing it on the
     * first call.
     *
     * @return The hash in hexadecimal digits.
     * @throws IllegalStateException Never, since every Java runtime provides SHA-256.
     */
    private String fingerprint() {
        String fingerprint = cachedFingerprint;
        if (fingerprint != null) {
            return fingerprint;
        }
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            updateWithLength(digest, workspace.map(Workspace::name).orElse(""));
            updateWithLength(digest, head.method().name());
            updateWithLength(digest, head.uri());
            digest.update(body);
            fingerprint = HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
            cachedFingerprint = fingerprint;
            return fingerprint;
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is not available", exception);
        }
    }

    /**
     * Adds a string preceded by its length, so that different lists of strings never hash the same
     * bytes.
     *
     * @param digest The digest to update.
     * @param text The string.
     */
    private static void updateWithLength(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
