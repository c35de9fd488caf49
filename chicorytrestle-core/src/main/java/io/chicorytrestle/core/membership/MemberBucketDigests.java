package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells the digests of parts of the facts of a zone, to find out which facts two instances know
 * differently.
 *
 * @param zone The availability zone.
 * @param digests The digest of each part.
 * @param wantsReply {@code true} if the sender wants the receiver's digests in return.
 */
public record MemberBucketDigests(String zone, List<Long> digests, boolean wantsReply)
        implements PeerMessage {

    /**
     * Creates new digests.
     *
     * @throws IllegalArgumentException If the number of parts is not the agreed one.
     */
    public MemberBucketDigests {
        if (digests.size() != MemberDirectory.BUCKET_COUNT) {
            throw new IllegalArgumentException("Cannot compare parts: " + digests.size());
        }
        digests = List.copyOf(digests);
    }
}
