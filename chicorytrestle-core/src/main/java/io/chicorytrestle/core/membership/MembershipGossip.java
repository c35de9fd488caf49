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

/** Tells facts of members to other entry instances and compares what both know. */
final class MembershipGossip {

    /** The most messages in which one comparison is answered. */
    private static final int MAXIMUM_MESSAGES = 16;

    /** Keeps the facts. */
    private final MemberDirectory directory;

    /** Sends messages. */
    private final PeerNetwork network;

    /** Takes each change that was learned from others, with the time in milliseconds. */
    private final BiConsumer<MemberDirectory.Change, Long> changeListener;

    /**
     * Creates a new exchange.
     *
     * @param directory Keeps the facts.
     * @param network Sends messages.
     * @param learned Takes each change that was learned from others, with the time.
     */
    MembershipGossip(
            MemberDirectory directory,
            PeerNetwork network,
            BiConsumer<MemberDirectory.Change, Long> learned) {
        this.directory = directory;
        this.network = network;
        this.changeListener = learned;
    }

    /**
     * Registers the handlers of this exchange's messages.
     *
     * @param registry Takes the handlers.
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
     * Tells facts to instances.
     *
     * @param instances The names of the instances.
     * @param facts The facts.
     * @param wantsReply {@code true} to hear what the receivers know better.
     * @param urgency The messages' rank.
     */
    void sendFacts(
            List<String> instances,
            List<MemberFact> facts,
            boolean wantsReply,
            MessagePriority urgency) {
        int messages = 0;
        for (int from = 0; from < facts.size(); from += MemberNotice.MAXIMUM_FACTS) {
            if (messages == MAXIMUM_MESSAGES) {
                return;
            }
            messages++;
            int to = Math.min(facts.size(), from + MemberNotice.MAXIMUM_FACTS);
            PeerMessage notice = new MemberNotice(facts.subList(from, to), wantsReply);
            instances.forEach(instance -> network.send(instance, notice, urgency));
        }
    }

    /**
     * Compares the facts of a zone with an instance.
     *
     * @param instance The instance's name.
     * @param zone The availability zone.
     */
    void sendDigest(String instance, String zone) {
        network.send(
                instance, new MemberDigest(zone, zoneDigest(zone)), MessagePriority.BACKGROUND);
    }

    /**
     * Merges the facts of a notice.
     *
     * @param sender The sender.
     * @param notice The notice.
     * @param nowMillis The present time in milliseconds.
     */
    private void handle(InstanceIdentity sender, MemberNotice notice, long nowMillis) {
        List<MemberFact> better = new ArrayList<>();
        for (MemberFact fact : notice.facts()) {
            changeListener.accept(directory.merge(fact, nowMillis), nowMillis);
            directory
                    .fact(fact.key())
                    .filter(known -> !known.isEquivalentTo(fact))
                    .ifPresent(better::add);
        }
        if (notice.wantsReply()) {
            sendFacts(List.of(sender.name()), better, false, MessagePriority.BACKGROUND);
        }
    }

    /**
     * Answers a digest that differs.
     *
     * @param sender The sender.
     * @param digest The digest.
     */
    private void handle(InstanceIdentity sender, MemberDigest digest) {
        if (digest.digest() != zoneDigest(digest.zone())) {
            network.send(
                    sender.name(), bucketDigests(digest.zone(), true), MessagePriority.BACKGROUND);
        }
    }

    /**
     * Tells the facts of the parts that differ.
     *
     * @param sender The sender.
     * @param buckets The digests of the parts.
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
     * Returns the digests of the parts of a zone.
     *
     * @param zone The availability zone.
     * @param wantsReply {@code true} to get the receiver's digests in return.
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
     * @return The digest.
     */
    private long zoneDigest(String zone) {
        return LongStream.of(directory.digests(zone)).sum();
    }
}
