package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.peer.PeerMessage;
import java.util.List;

/**
 * Sends facts of members.
 *
 * @param facts The facts.
 * @param wantsReply {@code true} if the sender wants the facts that the receiver holds differently
 *     after merging.
 */
public record MemberNotice(List<MemberFact> facts, boolean wantsReply) implements PeerMessage {

    /** The maximum number of facts in one message. */
    public static final int MAXIMUM_FACTS = 16;

    /**
     * Creates a new notice.
     *
     * @throws IllegalArgumentException If there are more than {@link #MAXIMUM_FACTS} facts.
     */
    public MemberNotice {
        if (facts.size() > MAXIMUM_FACTS) {
            throw new IllegalArgumentException(
                    "Cannot send too many facts in one notice: " + facts.size());
        }
        facts = List.copyOf(facts);
    }
}
