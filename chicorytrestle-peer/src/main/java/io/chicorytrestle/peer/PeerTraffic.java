package io.chicorytrestle.peer;

import io.chicorytrestle.core.peer.MessagePriority;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of messages between entry instances by urgency. Several threads may use it. */
public final class PeerTraffic {

    /** The bytes that were sent. */
    private final Map<MessagePriority, LongAdder> sent = newCounters();

    /** The bytes that were received. */
    private final Map<MessagePriority, LongAdder> received = newCounters();

    /** The peers that were cut off. */
    private final LongAdder rejectedPeers = new LongAdder();

    /**
     * Creates the counters.
     *
     * @return A counter for each urgency.
     */
    private static Map<MessagePriority, LongAdder> newCounters() {
        Map<MessagePriority, LongAdder> adders = new EnumMap<>(MessagePriority.class);
        for (MessagePriority urgency : MessagePriority.values()) {
            adders.put(urgency, new LongAdder());
        }
        return Collections.unmodifiableMap(adders);
    }

    /**
     * Returns the bytes that were sent.
     *
     * @param urgency The messages' rank.
     * @return The bytes that were sent.
     */
    public long sentBytes(MessagePriority urgency) {
        return counter(sent, urgency).sum();
    }

    /**
     * Returns the bytes that were received.
     *
     * @param urgency The messages' rank.
     * @return The bytes that were received.
     */
    public long receivedBytes(MessagePriority urgency) {
        return counter(received, urgency).sum();
    }

    /**
     * Returns how many peers were cut off.
     *
     * @return The connections that were closed since a peer was malformed or hostile.
     */
    public long rejectedPeers() {
        return rejectedPeers.sum();
    }

    /**
     * Counts bytes that are sent.
     *
     * @param urgency The message's rank.
     * @param bytes The bytes.
     */
    void countSent(MessagePriority urgency, int bytes) {
        counter(sent, urgency).add(bytes);
    }

    /**
     * Counts bytes that were received.
     *
     * @param urgency The message's rank.
     * @param bytes The bytes.
     */
    void countReceived(MessagePriority urgency, int bytes) {
        counter(received, urgency).add(bytes);
    }

    /** Counts a peer that is cut off. */
    void countRejectedPeer() {
        rejectedPeers.increment();
    }

    /**
     * Returns the counter of an urgency.
     *
     * @param adders The counters.
     * @param urgency The urgency.
     * @return The counter.
     * @throws IllegalStateException If there is no counter, which cannot happen.
     */
    private static LongAdder counter(
            Map<MessagePriority, LongAdder> adders, MessagePriority urgency) {
        LongAdder adder = adders.get(urgency);
        if (adder == null) {
            throw new IllegalStateException("Cannot count bytes of urgency: " + urgency);
        }
        return adder;
    }
}
