package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/**
 * Sends the digests of the buckets of a zone's facts, to find the buckets whose facts differ
 * between two instances.
 *
 * @param zone The availability zone.
 * @param digests The digest of each bucket, in order.
 * @param wantsReply {@code true} if the sender wants the receiver's digests in reply.
 */
public record MemberBucketDigests(String zone, List<Long> digests, boolean wantsReply)
        implements PeerMessage {

    /**
     * Creates new digests.
     *
     * @throws IllegalArgumentException If the number of digests is not {@link
     *     MemberDirectory#BUCKET_COUNT}.
     */
    public MemberBucketDigests {
        if (digests.size() != MemberDirectory.BUCKET_COUNT) {
            throw new IllegalArgumentException(
                    "Cannot compare digests of wrong number of buckets: " + digests.size());
        }
        digests = List.copyOf(digests);
    }
}
