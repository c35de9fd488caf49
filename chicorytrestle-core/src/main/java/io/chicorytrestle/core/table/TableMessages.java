package io.chicorytrestle.core.table;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/** Holds the messages by which entry instances distribute tables. */
public final class TableMessages {

    /** The maximum number of content bytes in one message. */
    public static final int MAXIMUM_PART_BYTES = 1_024;

    /** The maximum number of parts of one table. */
    public static final int MAXIMUM_PARTS = 1_024;

    /** Prevents instances. */
    private TableMessages() {}

    /**
     * Announces the sender's current table. It is also the reply to a {@link VersionQuery}.
     *
     * @param version The table's version.
     * @param digest The digest of the table's content.
     */
    public record Notice(long version, String digest) implements PeerMessage {}

    /** Requests a {@link Notice} of the receiver's current table. */
    public record VersionQuery() implements PeerMessage {}

    /**
     * Requests the parts of the receiver's current table.
     *
     * @param baseVersion The version of the sender's current table, or zero to request the whole
     *     table.
     * @param baseDigest The digest of the sender's current table.
     */
    public record Pull(long baseVersion, String baseDigest) implements PeerMessage {}

    /**
     * Carries a part of a table, or of its difference from an older one.
     *
     * @param baseVersion The version that the content is a difference from, or zero for a whole
     *     table.
     * @param version The version of the table.
     * @param digest The digest of the whole table's content.
     * @param part The index of this part, from zero on.
     * @param parts The total number of parts.
     * @param content This part of the compressed rows.
     * @param removedWorkspaces The names of the removed workspaces; only set in the first part.
     * @param removedPools The names of the removed pools; only set in the first part.
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
         * @param version The version of the table.
         * @param digest The digest of the whole table's content.
         * @param part The index of this part.
         * @param parts The total number of parts.
         * @param content This part of the compressed rows.
         * @param removedWorkspaces The names of the removed workspaces.
         * @param removedPools The names of the removed pools.
         * @throws IllegalArgumentException If the index or the number of parts is out of range, or
         *     the content exceeds {@link #MAXIMUM_PART_BYTES}.
         */
        public Part {
            if (parts < 1 || parts > MAXIMUM_PARTS || part < 0 || part >= parts) {
                throw new IllegalArgumentException(
                        "Cannot use part index %d of %d parts".formatted(part, parts));
            }
            if (content.length > MAXIMUM_PART_BYTES) {
                throw new IllegalArgumentException(
                        "Cannot use part of too many bytes: " + content.length);
            }
            removedWorkspaces = List.copyOf(removedWorkspaces);
            removedPools = List.copyOf(removedPools);
        }
    }
}
