package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;

/**
 * Sends facts of members to other entry instances, and repairs differences by comparing digests: of
 * a whole zone first, then of its buckets, and at last the facts of those buckets that differ.
 */
final class MembershipGossip {

    /**
     * The maximum number of notices that are sent at once; facts beyond it are left to later
     * comparisons.
     */
    private static final int MAXIMUM_MESSAGES = 16;

    /** Holds the facts. */
    private final MemberDirectory directory;

    /** Sends messages to other instances. */
    private final PeerNetwork network;

    /**
     * Receives the outcome of merging each fact from another instance, with the time in
     * milliseconds.
     */
    private final BiConsumer<MemberDirectory.Change, Long> changeListener;

    /**
     * Creates a new gossip.
     *
     * @param directory Holds the facts.
     * @param network Sends messages to other instances.
     * @param changeListener Receives the outcome of merging each fact from another instance, with
     *     the time in milliseconds.
     */
    MembershipGossip(
            MemberDirectory directory,
            PeerNetwork network,
            BiConsumer<MemberDirectory.Change, Long> changeListener) {
        this.directory = directory;
        this.network = network;
        this.changeListener = changeListener;
    }

    /**
     * Registers the handlers of the membership messages.
     *
     * @param registry The registry to add the handlers to.
     */
    void register(PeerHandlerRegistry registry) {
        registry.register(
                MemberNotice.class,
                (sender, notice, nowMillis) -> {
                    handle(sender, notice, nowMillis);
                    return null;
                });
        registry.register(
                MemberDigest.class,
                (sender, digest, nowMillis) -> {
                    handle(sender, digest);
                    return null;
                });
        registry.register(
                MemberBucketDigests.class,
                (sender, buckets, nowMillis) -> {
                    handle(sender, buckets);
                    return null;
                });
    }

    /**
     * Sends facts to instances, in several notices if necessary.
     *
     * @param instances The names of the instances.
     * @param facts The facts.
     * @param wantsReply {@code true} to receive the facts that the receivers hold differently after
     *     merging.
     * @param priority The messages' priority.
     */
    void sendFacts(
            List<String> instances,
            List<MemberFact> facts,
            boolean wantsReply,
            MessagePriority priority) {
        int messages = 0;
        for (int from = 0; from < facts.size(); from += MemberNotice.MAXIMUM_FACTS) {
            if (messages == MAXIMUM_MESSAGES) {
                return;
            }
            messages++;
            int to = Math.min(facts.size(), from + MemberNotice.MAXIMUM_FACTS);
            PeerMessage notice = new MemberNotice(facts.subList(from, to), wantsReply);
            instances.forEach(instance -> network.send(instance, notice, priority));
        }
    }

    /**
     * Sends the digest of a zone's facts to an instance, which replies if its own digest differs.
     *
     * @param instance The instance's name.
     * @param zone The availability zone.
     */
    void sendDigest(String instance, String zone) {
        network.send(
                instance, new MemberDigest(zone, zoneDigest(zone)), MessagePriority.BACKGROUND);
    }

    /**
     * Merges the facts of a notice, and replies with those that still differ from the merged ones
     * if the sender wants that.
     *
     * @param sender The authenticated sender.
     * @param notice The notice.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(InstanceIdentity sender, MemberNotice notice, long nowMillis) {
        List<MemberFact> differing = new ArrayList<>();
        for (MemberFact fact : notice.facts()) {
            changeListener.accept(directory.merge(fact, nowMillis), nowMillis);
            directory
                    .fact(fact.key())
                    .filter(known -> !known.isEquivalentTo(fact))
                    .ifPresent(differing::add);
        }
        if (notice.wantsReply()) {
            sendFacts(List.of(sender.name()), differing, false, MessagePriority.BACKGROUND);
        }
    }

    /**
     * Replies to a digest that differs with the digests of the zone's buckets.
     *
     * @param sender The authenticated sender.
     * @param digest The digest.
     */
    private void handle(InstanceIdentity sender, MemberDigest digest) {
        if (digest.digest() != zoneDigest(digest.zone())) {
            network.send(
                    sender.name(), bucketDigests(digest.zone(), true), MessagePriority.BACKGROUND);
        }
    }

    /**
     * Sends the facts of the buckets that differ, and this instance's digests if the sender wants
     * them.
     *
     * @param sender The authenticated sender.
     * @param buckets The digests of the sender's buckets.
     */
    private void handle(InstanceIdentity sender, MemberBucketDigests buckets) {
        long[] own = directory.digests(buckets.zone());
        Set<Integer> differing = new HashSet<>();
        for (int index = 0; index < own.length; index++) {
            if (own[index] != buckets.digests().get(index)) {
                differing.add(index);
            }
        }
        if (differing.isEmpty()) {
            return;
        }
        List<MemberFact> facts = directory.facts(buckets.zone(), differing);
        sendFacts(List.of(sender.name()), facts, true, MessagePriority.BACKGROUND);
        if (buckets.wantsReply()) {
            network.send(
                    sender.name(),
                    bucketDigests(buckets.zone(), false),
                    MessagePriority.BACKGROUND);
        }
    }

    /**
     * Creates a message with the digests of a zone's buckets.
     *
     * @param zone The availability zone.
     * @param wantsReply {@code true} to receive the receiver's digests in reply.
     * @return The message.
     */
    private MemberBucketDigests bucketDigests(String zone, boolean wantsReply) {
        List<Long> digests = Arrays.stream(directory.digests(zone)).boxed().toList();
        return new MemberBucketDigests(zone, digests, wantsReply);
    }

    /**
     * Returns the digest of all facts of a zone.
     *
     * @param zone The availability zone.
     * @return The sum of the digests of all buckets.
     */
    private long zoneDigest(String zone) {
        return LongStream.of(directory.digests(zone)).sum();
    }
}
