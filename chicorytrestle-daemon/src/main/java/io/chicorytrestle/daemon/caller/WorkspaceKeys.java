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
 * Holds the salted hashes of the workspaces' secrets. A workspace may have several at a time, so
 * that keys can be rotated.
 *
 * @param revision The revision of the platform's value, zero before any was read.
 * @param entries The hashes by workspace.
 */
public record WorkspaceKeys(long revision, Map<String, List<Entry>> entries) {

    /** The keys that are in force. */
    public static final Topic<WorkspaceKeys> TOPIC =
            new Topic<>("workspace-keys", new WorkspaceKeys(0, Map.of()));

    /** The prefix of a credential. */
    private static final String BEARER_PREFIX = "Bearer ";

    /** The characters of a hash. */
    private static final int HASH_HEX_DIGITS = 64;

    /** Reads YAML. */
    private static final YAMLMapper MAPPER = new YAMLMapper();

    /** Creates new keys. */
    public WorkspaceKeys {
        entries = Map.copyOf(entries);
    }

    /**
     * Parses the platform's value.
     *
     * @param revision The revision of the value.
     * @param text The value in YAML.
     * @return The keys.
     * @throws IllegalArgumentException If the value is malformed.
     */
    public static WorkspaceKeys parse(long revision, String text) {
        Listing listing;
        try {
            listing = MAPPER.readValue(text, Listing.class);
        } catch (JsonProcessingException exception) {
            /* The cause is left out since its text may hold hashes. */
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
     * Authenticates a caller.
     *
     * @param authorization The value of the authorization header, or {@code null} if there is none.
     * @return The workspace, or empty if the credential is not one of its secrets.
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
        boolean known = false;
        for (Entry entry : entries.getOrDefault(workspace, List.of())) {
            known |= entry.matches(secret);
        }
        return known ? Optional.of(workspace) : Optional.empty();
    }

    /**
     * The platform's value.
     *
     * @param workspaces The hashes.
     */
    private record Listing(@Nullable List<Entry> workspaces) {}

    /**
     * Holds the salted hash of one secret.
     *
     * @param name The workspace.
     * @param salt The salt.
     * @param hash The SHA-256 of salt and secret in hexadecimal digits.
     */
    public record Entry(String name, String salt, String hash) {

        /**
         * Creates a new entry.
         *
         * @throws IllegalArgumentException If the name or the hash is malformed.
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
         * Returns {@code true} if this is the hash of a secret, in a time that does not depend on
         * the secret.
         *
         * @param secret The secret.
         * @return {@code true} if this is the hash of a secret.
         */
        boolean matches(String secret) {
            byte[] wanted = BaseEncoding.base16().lowerCase().decode(hash);
            byte[] given =
                    Hashing.sha256().hashString(salt + secret, StandardCharsets.UTF_8).asBytes();
            return MessageDigest.isEqual(wanted, given);
        }

        @Override
        public String toString() {
            return "Entry[name=" + name + "]";
        }
    }
}
