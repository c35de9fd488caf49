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
 * Lists the types of messages with the numbers that identify them on the wire. A number must never
 * be reused for another type.
 */
public enum PeerMessageKind {

    /** A reply that only confirms that a message was handled. */
    ACKNOWLEDGEMENT(1, Acknowledgement.class),

    /** Facts about members. */
    MEMBER_NOTICE(20, MemberNotice.class),

    /** The digest of the facts of a zone. */
    MEMBER_DIGEST(21, MemberDigest.class),

    /** The digests of the buckets of a zone's facts. */
    MEMBER_BUCKETS(22, MemberBucketDigests.class),

    /** The version and digest of the sender's current table. */
    TABLE_NOTICE(23, TableMessages.Notice.class),

    /** A query for the version of the receiver's current table. */
    TABLE_FLOOR_QUERY(24, TableMessages.VersionQuery.class),

    /** A request for the parts of the receiver's current table. */
    TABLE_PULL(25, TableMessages.Pull.class),

    /** A part of a table. */
    TABLE_PART(26, TableMessages.Part.class),

    /** A request for an admission. */
    ADMIT_REQUEST(30, LeaderMessage.AdmitRequest.class),

    /** A reply to a request for an admission. */
    ADMIT_REPLY(31, LeaderMessage.AdmitReply.class),

    /** An admission that is released. */
    RELEASE(32, LeaderMessage.Release.class),

    /** A report of all admissions that are held. */
    REPORT(33, LeaderMessage.Report.class),

    /** A renewal of the lease of all admissions that are held. */
    RENEWAL(34, LeaderMessage.Renewal.class),

    /** A reply to a report or a renewal. */
    STEWARD_REPLY(35, LeaderMessage.LeaderReply.class),

    /** An inquiry by an instance that becomes leader. */
    INQUIRY(36, LeaderMessage.FollowRequest.class),

    /** A reply to an inquiry. */
    INQUIRY_REPLY(37, LeaderMessage.FollowReply.class),

    /** The admissions that only the leader knows of, replicated to its standby. */
    SHADOW(38, LeaderMessage.GrantReplica.class),

    /** A call that is forwarded to the issuer of its ticket. */
    CALL_FORWARD(40, CallMessages.ForwardRequest.class),

    /** The outcome of a forwarded call. */
    CALL_REPLY(41, CallMessages.ForwardReply.class),

    /** A query for the status of a ticket's call. */
    CALL_QUERY(42, CallMessages.StatusQuery.class),

    /** The status of a ticket's call. */
    CALL_STATUS(43, CallMessages.StatusReply.class),

    /** The ledger of an instance that is stopping, for another instance. */
    LEDGER_HANDOVER(44, CallMessages.LedgerPart.class),

    /** The suspicion against a request, or its end. */
    POISON_NOTICE(45, PoisonMessages.SuspicionNotice.class),

    /** A request for the lease to run a suspect request, or the return of that lease. */
    POISON_TURN(46, PoisonMessages.LeaseRequest.class),

    /** The reply to a request for the lease to run a suspect request. */
    POISON_TURN_ANSWER(47, PoisonMessages.LeaseReply.class);

    /** The number that identifies the type on the wire. */
    private final int number;

    /** The class of the messages. */
    private final Class<? extends PeerMessage> type;

    /**
     * Creates a new kind.
     *
     * @param number The number that identifies the type on the wire.
     * @param type The class of the messages.
     */
    PeerMessageKind(int number, Class<? extends PeerMessage> type) {
        this.number = number;
        this.type = type;
    }

    /**
     * Returns the kind of a number.
     *
     * @param number The number.
     * @return The kind, or empty if this version doesn't know the number.
     */
    public static Optional<PeerMessageKind> of(int number) {
        return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
    }

    /**
     * Returns the kind of a message.
     *
     * @param message The message.
     * @return The kind of the message.
     * @throws IllegalArgumentException If the message's class is not listed.
     */
    public static PeerMessageKind of(PeerMessage message) {
        return Arrays.stream(values())
                .filter(kind -> kind.type == message.getClass())
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "Cannot send message of unlisted type: "
                                                + message.getClass()));
    }

    /**
     * Returns the number that identifies the type on the wire.
     *
     * @return The number that identifies the type on the wire.
     */
    public int number() {
        return number;
    }

    /**
     * Returns the class of the messages.
     *
     * @return The class of the messages.
     */
    public Class<? extends PeerMessage> type() {
        return type;
    }

    /** A reply that only confirms that a message was handled. */
    public record Acknowledgement() implements PeerMessage {}
}
