package io.chicorytrestle.standin.virtual;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandler;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Fakes the network between entry instances in virtual time: delays, cuts between availability
 * zones, pauses and kills. It is confined to the scheduler's thread.
 */
public final class VirtualNetwork {

    /** The scheduler that delivers messages. */
    private final VirtualScheduler scheduler;

    /** The delay of each message in milliseconds. */
    private final long delayMillis;

    /** Measures a message in bytes. */
    private final ToIntFunction<PeerMessage> messageSizer;

    /** The entry instances that run, by name. */
    private final Map<String, Node> nodes = new HashMap<>();

    /** The ordered pairs of availability zones that are cut off from each other. */
    private final Set<List<String>> partitions = new HashSet<>();

    /**
     * Creates a new network.
     *
     * @param scheduler The scheduler that delivers messages.
     * @param delayMillis The delay of each message in milliseconds.
     * @param meter Measures a message in bytes.
     */
    public VirtualNetwork(
            VirtualScheduler scheduler, long delayMillis, ToIntFunction<PeerMessage> meter) {
        this.scheduler = scheduler;
        this.delayMillis = delayMillis;
        this.messageSizer = meter;
    }

    /**
     * Starts an entry instance; one of the same name that still runs is killed first.
     *
     * @param identity The identity of the entry instance.
     * @return The instance's side of the network.
     */
    public Node start(InstanceIdentity identity) {
        kill(identity.name());
        Node node = new Node(identity);
        nodes.put(identity.name(), node);
        return node;
    }

    /**
     * Kills an entry instance: what it has yet to receive or to answer is lost.
     *
     * @param name The name of the entry instance.
     */
    public void kill(String name) {
        Node node = nodes.remove(name);
        if (node != null) {
            node.alive = false;
        }
    }

    /**
     * Pauses an entry instance: messages reach it after the pause.
     *
     * @param name The name of the entry instance.
     */
    public void pause(String name) {
        Node node = nodes.get(name);
        if (node != null) {
            node.paused = true;
        }
    }

    /**
     * Ends the pause of an entry instance and delivers what waited.
     *
     * @param name The name of the entry instance.
     */
    public void resume(String name) {
        Node node = nodes.get(name);
        if (node != null) {
            node.paused = false;
            List<Runnable> waiting = new ArrayList<>(node.deferredActions);
            node.deferredActions.clear();
            waiting.forEach(node::execute);
        }
    }

    /**
     * Cuts two availability zones off from each other, in both directions.
     *
     * @param zone The one zone.
     * @param other The other zone.
     */
    public void partition(String zone, String other) {
        partitions.add(List.of(zone, other));
        partitions.add(List.of(other, zone));
    }

    /** Heals all cuts. */
    public void healPartitions() {
        partitions.clear();
    }

    /**
     * Delivers an action to a node unless the way to it is cut when it would arrive.
     *
     * @param from The node that sends.
     * @param to The name of the node to run the action at.
     * @param action The action, given the receiving node.
     */
    private void deliver(Node from, String to, Consumer<Node> action) {
        scheduler.scheduleAfter(
                delayMillis,
                () -> {
                    Node node = nodes.get(to);
                    if (node != null && !isPartitioned(from.identity.zone(), node.identity.zone())) {
                        node.execute(() -> action.accept(node));
                    }
                });
    }

    /**
     * Returns {@code true} if two zones are cut off from each other.
     *
     * @param zone The one zone.
     * @param other The other zone.
     * @return {@code true} if two zones are cut off from each other.
     */
    private boolean isPartitioned(String zone, String other) {
        return partitions.contains(List.of(zone, other));
    }

    /** One entry instance's side of the network. */
    public final class Node implements PeerNetwork, PeerHandlerRegistry {

        /** The identity of the entry instance. */
        private final InstanceIdentity identity;

        /** The handlers by type of message. */
        private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new HashMap<>();

        /** What waits for the end of a pause. */
        private final List<Runnable> deferredActions = new ArrayList<>();

        /** Whether the instance runs. */
        private boolean alive = true;

        /** Whether the instance is paused. */
        private boolean paused;

        /** The bytes that this instance sent. */
        private long sentBytes;

        /**
         * Creates a new node.
         *
         * @param identity The identity of the entry instance.
         */
        private Node(InstanceIdentity identity) {
            this.identity = identity;
        }

        /**
         * Returns the bytes that this instance sent.
         *
         * @return The bytes that this instance sent.
         */
        public long sentBytes() {
            return sentBytes;
        }

        /**
         * Returns {@code true} if this instance is neither killed nor paused.
         *
         * @return {@code true} if this instance runs.
         */
        public boolean isRunning() {
            return alive && !paused;
        }

        /**
         * Runs an action of this instance now, or after its pause, or not at all if it was killed.
         *
         * @param action The action to run.
         */
        public void execute(Runnable action) {
            if (!alive) {
                return;
            }
            if (paused) {
                deferredActions.add(action);
            } else {
                action.run();
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
            handlers.put(type, (PeerHandler<PeerMessage>) (PeerHandler<?>) handler);
        }

        @Override
        public boolean send(String instance, PeerMessage message, MessagePriority urgency) {
            sentBytes += messageSizer.applyAsInt(message);
            deliver(this, instance, node -> node.handle(identity, message));
            return nodes.containsKey(instance);
        }

        @Override
        public CompletableFuture<PeerMessage> request(
                String instance, PeerMessage message, long timeoutMillis) {
            sentBytes += messageSizer.applyAsInt(message);
            CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
            if (!nodes.containsKey(instance)) {
                failAfter(
                        answer,
                        delayMillis,
                        RequestFailureException.notRun(
                                FailureCode.UNAVAILABLE,
                                "Cannot connect to entry instance: " + instance));
                return answer;
            }
            deliver(this, instance, node -> node.handleRequest(this, message, answer));
            failAfter(
                    answer,
                    timeoutMillis,
                    RequestFailureException.mayHaveRun(
                            FailureCode.UNAVAILABLE, "Cannot await entry instance: " + instance));
            return answer;
        }

        /**
         * Fails a future at this instance after a delay, if it is not completed by then.
         *
         * @param answer The future.
         * @param afterMillis The delay in milliseconds.
         * @param failure The failure.
         */
        private void failAfter(
                CompletableFuture<PeerMessage> answer,
                long afterMillis,
                RequestFailureException failure) {
            scheduler.scheduleAfter(afterMillis, () -> execute(() -> answer.completeExceptionally(failure)));
        }

        /**
         * Handles a message and sends its answer back.
         *
         * @param asker The node that asked.
         * @param message The message.
         * @param answer Completed at the node that asked.
         */
        private void handleRequest(
                Node asker, PeerMessage message, CompletableFuture<PeerMessage> answer) {
            CompletableFuture<? extends PeerMessage> result = handle(asker.identity, message);
            if (result == null) {
                return;
            }
            result.whenComplete(
                    (reply, failure) -> {
                        if (reply != null && alive) {
                            sentBytes += messageSizer.applyAsInt(reply);
                            deliver(
                                    this,
                                    asker.identity.name(),
                                    node -> {
                                        if (node == asker) {
                                            answer.complete(reply);
                                        }
                                    });
                        }
                    });
        }

        /**
         * Handles a message.
         *
         * @param sender The sender.
         * @param message The message.
         * @return The answer, or {@code null} if there is none.
         */
        private @Nullable CompletableFuture<? extends PeerMessage> handle(
                InstanceIdentity sender, PeerMessage message) {
            PeerHandler<PeerMessage> handler = handlers.get(message.getClass());
            return handler == null ? null : handler.handle(sender, message, scheduler.nowMillis());
        }
    }
}
