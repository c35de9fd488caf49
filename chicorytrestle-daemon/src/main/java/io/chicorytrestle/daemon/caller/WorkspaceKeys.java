package io.chicorytrestle.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import io.chicorytrestle.core.blackboard.Topic;
import io.chicorytrestle.core.identity.Names;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Holds the salted hashes of the workspaces' secrets. A workspace may have several secrets at a
 * time, so that they can be rotated.
 *
 * @param revision The revision of the value in the configuration service, zero before the first
 *     read.
 * @param entries The hashes by workspace.
 */
public record WorkspaceKeys(long revision, Map<String, List<Entry>> entries) {

    /** The topic with the keys in force. */
    public static final Topic<WorkspaceKeys> TOPIC =
            new Topic<>("workspace-keys", new WorkspaceKeys(0, Map.of()));

    /** The prefix of the authorization header's value. */
    private static final String BEARER_PREFIX = "Bearer ";

    /** The length of a hash in hexadecimal digits. */
    private static final int HASH_HEX_DIGITS = 64;

    /** Parses the value of the configuration service. */
    private static final YAMLMapper MAPPER = new YAMLMapper();

    /** Creates an immutable copy. */
    public WorkspaceKeys {
        entries = Map.copyOf(entries);
    }

    /**
     * Parses the value of the configuration service.
     *
     * @param revision The revision of the value.
     * @param text The value as YAML.
     * @return The keys.
     * @throws IllegalArgumentException If the value is malformed.
     */
    public static WorkspaceKeys parse(long revision, String text) {
        Listing listing;
        try {
            listing = MAPPER.readValue(text, Listing.class);
        } catch (JsonProcessingException exception) {
            /* The cause is omitted because its message may contain hashes. */
            throw new IllegalArgumentException(
                    "Cannot read workspace keys of revision: " + revision);
        }
        if (listing == null || listing.workspaces() == null) {
            throw new IllegalArgumentException("Cannot find workspaces in revision: " + revision);
        }
        Map<String, List<Entry>> entries = new HashMap<>();
        listing.workspaces()
                .forEach(
                        entry ->
                                entries.computeIfAbsent(entry.name(), name -> new ArrayList<>())
                                        .add(entry));
        return new WorkspaceKeys(revision, entries);
    }

    /**
     * Authenticates a caller by its bearer credential, which consists of the workspace's name, a
     * colon and a secret.
     *
     * @param authorization The value of the authorization header, or {@code null} if there is none.
     * @return The workspace, or empty if the credential is malformed or invalid.
     */
    public Optional<String> authenticate(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        String credential = authorization.substring(BEARER_PREFIX.length());
        int separator = credential.lastIndexOf(':');
        if (separator < 0) {
            return Optional.empty();
        }
        String workspace = credential.substring(0, separator);
        String secret = credential.substring(separator + 1);
        boolean matched = false;
        for (Entry entry : entries.getOrDefault(workspace, List.of())) {
            matched |= entry.matches(secret);
        }
        return matched ? Optional.of(workspace) : Optional.empty();
    }

    /**
     * The value of the configuration service.
     *
     * @param workspaces The entries, several for a workspace with several secrets.
     */
    private record Listing(@Nullable List<Entry> workspaces) {}

    /**
     * The salted hash of one secret of a workspace.
     *
     * @param name The name of the workspace.
     * @param salt The salt, which is prepended to the secret.
     * @param hash The SHA-256 of salt and secret in hexadecimal digits, of either case.
     */
    public record Entry(String name, String salt, String hash) {

        /**
         * Creates an entry with the hash in lower case.
         *
         * @throws IllegalArgumentException If the workspace's name or the hash is malformed.
         */
        public Entry {
            Names.require("workspace", name);
            hash = hash.toLowerCase(Locale.ROOT);
            if (hash.length() != HASH_HEX_DIGITS
                    || !BaseEncoding.base16().lowerCase().canDecode(hash)) {
                throw new IllegalArgumentException("Cannot use hash of workspace: " + name);
            }
        }

        /**
         * Compares a secret with the hash in constant time.
         *
         * @param secret The secret.
         * @return {@code true} if the secret matches the hash.
         */
        boolean matches(String secret) {
            byte[] expectedHash = BaseEncoding.base16().lowerCase().decode(hash);
            byte[] actualHash =
                    Hashing.sha256().hashString(salt + secret, StandardCharsets.UTF_8).asBytes();
            return MessageDigest.isEqual(expectedHash, actualHash);
        }

        @Override
        public String toString() {
            return "Entry[name=" + name + "]";
        }
    }
}
