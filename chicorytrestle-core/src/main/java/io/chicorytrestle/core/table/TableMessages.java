package io.chicorytrestle.core.table;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/** Holds the messages by which tables spread. */
public final class TableMessages {

    /** The most bytes of content in one message. */
    public static final int MAXIMUM_PART_BYTES = 1_024;

    /** The most parts of one table. */
    public static final int MAXIMUM_PARTS = 1_024;

    /** Prevents instances. */
    private TableMessages() {}

    /**
     * Tells which table is in force at the sender.
     *
     * @param version The version.
     * @param digest The digest of the content.
     */
    public record Notice(long version, String digest) implements PeerMessage {}

    /** Asks which table is in force at the receiver. */
    public record VersionQuery() implements PeerMessage {}

    /**
     * Asks for the table that is in force at the receiver.
     *
     * @param baseVersion The version that the sender has, or zero to get the whole table.
     * @param baseDigest The digest of the content that the sender has.
     */
    public record Pull(long baseVersion, String baseDigest) implements PeerMessage {}

    /**
     * Brings a part of a table, or of its difference from an older one.
     *
     * @param baseVersion The version that the content is a difference from, or zero for a whole.
     * @param version The version.
     * @param digest The digest of the whole table's content.
     * @param part The number of this part, from zero on.
     * @param parts The number of parts.
     * @param content The part of the packed rows.
     * @param removedWorkspaces The workspaces that are gone; only in the first part.
     * @param removedPools The pools that are gone; only in the first part.
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Part(
            long baseVersion,
            long version,
            String digest,
            int part,
            int parts,
            byte[] content,
            List<String> removedWorkspaces,
            List<String> removedPools)
            implements PeerMessage {

        /**
         * Creates a new part.
         *
         * @param baseVersion The version that the content is a difference from.
         * @param version The version.
         * @param digest The digest of the whole table's content.
         * @param part The number of this part.
         * @param parts The number of parts.
         * @param content The part of the packed rows.
         * @param removedWorkspaces The workspaces that are gone.
         * @param removedPools The pools that are gone.
         * @throws IllegalArgumentException If the numbers do not fit each other.
         */
        public Part {
            if (parts < 1 || parts > MAXIMUM_PARTS || part < 0 || part >= parts) {
                throw new IllegalArgumentException(
                        "Cannot use part %d of %d".formatted(part, parts));
            }
            if (content.length > MAXIMUM_PART_BYTES) {
                throw new IllegalArgumentException("Cannot use long part: " + content.length);
            }
            removedWorkspaces = List.copyOf(removedWorkspaces);
            removedPools = List.copyOf(removedPools);
        }
    }
}
