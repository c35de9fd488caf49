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

/** Puts the channel's byte budget and real frame sizes before the virtual network. */
final class MeteredNetwork implements PeerNetwork, PeerHandlerRegistry {

    /** The messages that are sent for each request. */
    private static final Set<Class<?>> ADMISSION_MESSAGES =
            Set.of(
                    LeaderMessage.AdmitRequest.class,
                    LeaderMessage.AdmitReply.class,
                    LeaderMessage.Release.class);

    /** The virtual network's side of the instance. */
    private final VirtualNetwork.Node node;

    /** Tells the time. */
    private final VirtualScheduler scheduler;

    /** What waits under the budget. */
    private final SendQueue<QueuedMessage> queue;

    /** The bytes by kind of message, in both directions. */
    private final Map<PeerMessageKind, Long> bytesByKind = new EnumMap<>(PeerMessageKind.class);

    /** The bytes of messages by which requests are admitted, in both directions. */
    private long admissionBytes;

    /** The bytes of all other messages, in both directions. */
    private long controlBytes;

    /**
     * Creates a new network.
     *
     * @param node The virtual network's side of the instance.
     * @param scheduler Tells the time.
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
     * Returns the bytes of control that were sent and received.
     *
     * @return The bytes in both directions, but for the admission of requests.
     */
    long controlBytes() {
        return controlBytes;
    }

    /**
     * Returns the bytes by kind of message.
     *
     * @return The bytes in both directions.
     */
    Map<PeerMessageKind, Long> bytesByKind() {
        return Map.copyOf(bytesByKind);
    }

    /**
     * Returns the bytes by which requests were admitted.
     *
     * @return The bytes in both directions.
     */
    long admissionBytes() {
        return admissionBytes;
    }

    /**
     * Counts a message that is sent or received.
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

    /** Sends what the budget allows. */
    void flush() {
        Optional<QueuedMessage> next = queue.poll(scheduler.nowMillis());
        while (next.isPresent()) {
            QueuedMessage told = next.get();
            countBytes(told.message());
            node.send(told.instance(), told.message(), told.priority());
            next = queue.poll(scheduler.nowMillis());
        }
    }

    @Override
    public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
        boolean isQueued =
                queue.offer(
                        new QueuedMessage(instance, message, urgency),
                        FrameCodec.INSTANCE.frameBytes(message),
                        urgency);
        flush();
        return isQueued;
    }

    @Override
    public CompletableFuture<PeerMessage> request(
            String instance, PeerMessage message, long timeoutMillis) {
        countBytes(message);
        CompletableFuture<PeerMessage> answer = node.request(instance, message, timeoutMillis);
        answer.thenAccept(reply -> countBytes(reply));
        return answer;
    }

    @Override
    public <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        node.register(
                type,
                (sender, message, nowMillis) -> {
                    countBytes(message);
                    CompletableFuture<? extends PeerMessage> answer =
                            handler.handle(sender, message, nowMillis);
                    if (answer != null) {
                        answer.thenAccept(reply -> countBytes(reply));
                    }
                    return answer;
                });
    }

    /**
     * Holds a message that waits.
     *
     * @param instance The name of the instance to send to.
     * @param message The message.
     * @param priority The message's rank.
     */
    private record QueuedMessage(String instance, PeerMessage message, MessagePriority priority) {}
}
