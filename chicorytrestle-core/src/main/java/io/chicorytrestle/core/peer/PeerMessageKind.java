package io.chicorytrestle.core.peer;

import io.chicorytrestle.core.call.CallMessages;
import io.chicorytrestle.core.membership.MemberBucketDigests;
import io.chicorytrestle.core.membership.MemberDigest;
import io.chicorytrestle.core.membership.MemberNotice;
import io.chicorytrestle.core.poison.PoisonMessages;
import io.chicorytrestle.core.routing.LeaderMessage;
import io.chicorytrestle.core.table.TableMessages;
import java.util.Arrays;
import java.util.Optional;

/**
 * Lists the types of messages with the numbers that name them between entry instances. A number is
 * never used again for another type.
 */
public enum PeerMessageKind {

    /** An answer that says only that a message was handled. */
    ACKNOWLEDGEMENT(1, Acknowledgement.class),

    /** Facts of members. */
    MEMBER_NOTICE(20, MemberNotice.class),

    /** The digest of the facts of a zone. */
    MEMBER_DIGEST(21, MemberDigest.class),

    /** The digests of parts of the facts of a zone. */
    MEMBER_BUCKETS(22, MemberBucketDigests.class),

    /** The table in force at the sender. */
    TABLE_NOTICE(23, TableMessages.Notice.class),

    /** The question which table is in force. */
    TABLE_FLOOR_QUERY(24, TableMessages.VersionQuery.class),

    /** The question for the table in force. */
    TABLE_PULL(25, TableMessages.Pull.class),

    /** A part of a table. */
    TABLE_PART(26, TableMessages.Part.class),

    /** A request for a place. */
    ADMIT_REQUEST(30, LeaderMessage.AdmitRequest.class),

    /** An answer to a request for a place. */
    ADMIT_REPLY(31, LeaderMessage.AdmitReply.class),

    /** A place that is handed back. */
    RELEASE(32, LeaderMessage.Release.class),

    /** A report of all places that are held. */
    REPORT(33, LeaderMessage.Report.class),

    /** A renewal of the lease of all places that are held. */
    RENEWAL(34, LeaderMessage.Renewal.class),

    /** An answer to a report or a renewal. */
    STEWARD_REPLY(35, LeaderMessage.LeaderReply.class),

    /** An inquiry by an instance that takes office. */
    INQUIRY(36, LeaderMessage.FollowRequest.class),

    /** An answer to an inquiry. */
    INQUIRY_REPLY(37, LeaderMessage.FollowReply.class),

    /** The places of the steward's own instance. */
    SHADOW(38, LeaderMessage.GrantReplica.class),

    /** A call for the issuer of its ticket. */
    CALL_FORWARD(40, CallMessages.Forward.class),

    /** The outcome of a forwarded call. */
    CALL_REPLY(41, CallMessages.Reply.class),

    /** A question about a ticket's call. */
    CALL_QUERY(42, CallMessages.Query.class),

    /** The status of a ticket's call. */
    CALL_STATUS(43, CallMessages.Status.class),

    /** The ledger of an instance that stops. */
    LEDGER_HANDOVER(44, CallMessages.Handover.class),

    /** What is held against a request. */
    POISON_NOTICE(45, PoisonMessages.SuspicionNotice.class),

    /** A question for the turn of a suspect. */
    POISON_TURN(46, PoisonMessages.LeaseRequest.class),

    /** The answer to a question for a turn. */
    POISON_TURN_ANSWER(47, PoisonMessages.LeaseReply.class);

    /** The number that names the type. */
    private final int number;

    /** The type of the messages. */
    private final Class<? extends PeerMessage> type;

    /**
     * Creates a new kind.
     *
     * @param number The number that names the type.
     * @param type The type of the messages.
     */
    PeerMessageKind(int number, Class<? extends PeerMessage> type) {
        this.number = number;
        this.type = type;
    }

    /**
     * Returns the kind that a number names.
     *
     * @param number The number.
     * @return The kind, or empty if this version knows none.
     */
    public static Optional<PeerMessageKind> of(int number) {
        return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
    }

    /**
     * Returns the kind of a message.
     *
     * @param message The message.
     * @return The kind of the message.
     * @throws IllegalArgumentException If the message's type is not listed.
     */
    public static PeerMessageKind of(PeerMessage message) {
        return Arrays.stream(values())
                .filter(kind -> kind.type == message.getClass())
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "Cannot send unlisted message: " + message.getClass()));
    }

    /**
     * Returns the number that names the type.
     *
     * @return The number that names the type.
     */
    public int number() {
        return number;
    }

    /**
     * Returns the type of the messages.
     *
     * @return The type of the messages.
     */
    public Class<? extends PeerMessage> type() {
        return type;
    }

    /** An answer that says only that a message was handled. */
    public record Acknowledgement() implements PeerMessage {}
}
