package io.chicorytrestle.bench.control;

import io.chicorytrestle.core.peer.ByteBudget;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandler;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerMessageKind;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.peer.SendQueue;
import io.chicorytrestle.core.routing.LeaderMessage;
import io.chicorytrestle.peer.FrameCodec;
import io.chicorytrestle.peer.PeerLimits;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Applies the byte budget of a peer channel to the virtual network, and counts the bytes of
 * messages by their encoded frame sizes.
 */
final class MeteredNetwork implements PeerNetwork, PeerHandlerRegistry {

    /**
     * The messages that are sent for each request, which count as admission rather than control.
     */
    private static final Set<Class<?>> ADMISSION_MESSAGES =
            Set.of(
                    LeaderMessage.AdmitRequest.class,
                    LeaderMessage.AdmitReply.class,
                    LeaderMessage.Release.class);

    /** The connection of the instance to the virtual network. */
    private final VirtualNetwork.Node node;

    /** The scheduler that provides the virtual time. */
    private final VirtualScheduler scheduler;

    /** The one-way messages that wait for the byte budget. */
    private final SendQueue<QueuedMessage> queue;

    /** The number of bytes by kind of message, in both directions. */
    private final Map<PeerMessageKind, Long> bytesByKind = new EnumMap<>(PeerMessageKind.class);

    /** The number of bytes of admission messages, in both directions. */
    private long admissionBytes;

    /** The number of bytes of all other messages, in both directions. */
    private long controlBytes;

    /**
     * Creates a network with a full byte budget.
     *
     * @param node The connection of the instance to the virtual network.
     * @param scheduler The scheduler that provides the virtual time.
     */
    MeteredNetwork(VirtualNetwork.Node node, VirtualScheduler scheduler) {
        this.node = node;
        this.scheduler = scheduler;
        this.queue =
                new SendQueue<>(
                        ByteBudget.full(PeerLimits.DEFAULT.bytesPerSecond(), scheduler.nowMillis()),
                        PeerLimits.DEFAULT.maximumQueuedMessages());
    }

    /**
     * Returns the number of bytes of control messages, which are all messages except those of
     * admission.
     *
     * @return The number of bytes in both directions.
     */
    long controlBytes() {
        return controlBytes;
    }

    /**
     * Returns the number of bytes by kind of message, those of admission included.
     *
     * @return A copy of the counts, in both directions.
     */
    Map<PeerMessageKind, Long> bytesByKind() {
        return Map.copyOf(bytesByKind);
    }

    /**
     * Returns the number of bytes of admission messages.
     *
     * @return The number of bytes in both directions.
     */
    long admissionBytes() {
        return admissionBytes;
    }

    /**
     * Counts the encoded size of a message that is sent or received.
     *
     * @param message The message.
     */
    private void countBytes(PeerMessage message) {
        int bytes = FrameCodec.INSTANCE.frameBytes(message);
        bytesByKind.merge(PeerMessageKind.of(message), (long) bytes, Long::sum);
        if (ADMISSION_MESSAGES.contains(message.getClass())) {
            admissionBytes += bytes;
        } else {
            controlBytes += bytes;
        }
    }

    /** Sends queued messages as far as the byte budget permits. */
    void flush() {
        Optional<QueuedMessage> next = queue.poll(scheduler.nowMillis());
        while (next.isPresent()) {
            QueuedMessage queued = next.get();
            countBytes(queued.message());
            node.send(queued.instance(), queued.message(), queued.priority());
            next = queue.poll(scheduler.nowMillis());
        }
    }

    @Override
    public boolean send(String instance, PeerMessage message, MessagePriority priority) {
        boolean isQueued =
                queue.offer(
                        new QueuedMessage(instance, message, priority),
                        FrameCodec.INSTANCE.frameBytes(message),
                        priority);
        flush();
        return isQueued;
    }

    @Override
    public CompletableFuture<PeerMessage> request(
            String instance, PeerMessage message, long timeoutMillis) {
        countBytes(message);
        CompletableFuture<PeerMessage> reply = node.request(instance, message, timeoutMillis);
        reply.thenAccept(replyMessage -> countBytes(replyMessage));
        return reply;
    }

    @Override
    public <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        node.register(
                type,
                (sender, message, nowMillis) -> {
                    countBytes(message);
                    CompletableFuture<? extends PeerMessage> reply =
                            handler.handle(sender, message, nowMillis);
                    if (reply != null) {
                        reply.thenAccept(replyMessage -> countBytes(replyMessage));
                    }
                    return reply;
                });
    }

    /**
     * Holds a one-way message that waits for the byte budget.
     *
     * @param instance The name of the receiving instance.
     * @param message The message.
     * @param priority The priority of the message in the queue.
     */
    private record QueuedMessage(String instance, PeerMessage message, MessagePriority priority) {}
}
