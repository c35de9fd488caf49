package io.chicorytrestle.peer;

import io.chicorytrestle.core.peer.MessagePriority;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes of messages between entry instances by priority, and rejected peers.
 * Thread-safe.
 */
public final class PeerTraffic {

    /** The number of sent bytes by priority. */
    private final Map<MessagePriority, LongAdder> sent = newCounters();

    /** The number of received bytes by priority. */
    private final Map<MessagePriority, LongAdder> received = newCounters();

    /** The number of connections closed because the peer was rejected. */
    private final LongAdder rejectedPeers = new LongAdder();

    /**
     * Creates a counter for each priority.
     *
     * @return The counters, starting at zero.
     */
    private static Map<MessagePriority, LongAdder> newCounters() {
        Map<MessagePriority, LongAdder> counters = new EnumMap<>(MessagePriority.class);
        for (MessagePriority priority : MessagePriority.values()) {
            counters.put(priority, new LongAdder());
        }
        return Collections.unmodifiableMap(counters);
    }

    /**
     * Returns the number of sent bytes, with the overhead of the frames.
     *
     * @param priority The priority of the messages.
     * @return The number of bytes since the start.
     */
    public long sentBytes(MessagePriority priority) {
        return counter(sent, priority).sum();
    }

    /**
     * Returns the number of received bytes, with the overhead of the frames.
     *
     * @param priority The priority of the messages.
     * @return The number of bytes since the start.
     */
    public long receivedBytes(MessagePriority priority) {
        return counter(received, priority).sum();
    }

    /**
     * Returns the number of rejected peers.
     *
     * @return The number of connections closed because the peer was rejected, such as for malformed
     *     data.
     */
    public long rejectedPeers() {
        return rejectedPeers.sum();
    }

    /**
     * Counts sent bytes.
     *
     * @param priority The message's priority.
     * @param bytes The size of the frame in bytes.
     */
    void countSent(MessagePriority priority, int bytes) {
        counter(sent, priority).add(bytes);
    }

    /**
     * Counts received bytes.
     *
     * @param priority The message's priority.
     * @param bytes The size of the frame in bytes.
     */
    void countReceived(MessagePriority priority, int bytes) {
        counter(received, priority).add(bytes);
    }

    /** Counts a connection closed because the peer was rejected. */
    void countRejectedPeer() {
        rejectedPeers.increment();
    }

    /**
     * Returns the counter of a priority.
     *
     * @param counters The counters by priority.
     * @param priority The priority.
     * @return The counter.
     * @throws IllegalStateException If there is no counter, which can't happen.
     */
    private static LongAdder counter(
            Map<MessagePriority, LongAdder> counters, MessagePriority priority) {
        LongAdder counter = counters.get(priority);
        if (counter == null) {
            throw new IllegalStateException("Cannot count bytes of priority: " + priority);
        }
        return counter;
    }
}
