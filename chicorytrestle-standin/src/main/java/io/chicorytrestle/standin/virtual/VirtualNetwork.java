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
 * Simulates the network between entry instances in virtual time, with delays, partitions between
 * availability zones, and paused or killed instances. It is confined to the scheduler's thread.
 */
public final class VirtualNetwork {

    /** The scheduler that delivers messages. */
    private final VirtualScheduler scheduler;

    /** The delay of each message in milliseconds. */
    private final long delayMillis;

    /** Returns the size of a message in bytes. */
    private final ToIntFunction<PeerMessage> messageSizer;

    /** The entry instances that were not killed, by name. */
    private final Map<String, Node> nodes = new HashMap<>();

    /** The pairs of availability zones without a connection, each in both orders. */
    private final Set<List<String>> partitions = new HashSet<>();

    /**
     * Creates a new network.
     *
     * @param scheduler The scheduler that delivers messages.
     * @param delayMillis The delay of each message in milliseconds.
     * @param messageSizer Returns the size of a message in bytes.
     */
    public VirtualNetwork(
            VirtualScheduler scheduler, long delayMillis, ToIntFunction<PeerMessage> messageSizer) {
        this.scheduler = scheduler;
        this.delayMillis = delayMillis;
        this.messageSizer = messageSizer;
    }

    /**
     * Starts an entry instance and first kills one of the same name that is still running.
     *
     * @param identity The identity of the entry instance.
     * @return The instance's connection to the network.
     */
    public Node start(InstanceIdentity identity) {
        kill(identity.name());
        Node node = new Node(identity);
        nodes.put(identity.name(), node);
        return node;
    }

    /**
     * Kills an entry instance. Messages that it has not received and replies that it has not sent
     * are lost.
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
     * Pauses an entry instance. Messages and time-outs reach it after the pause.
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
     * Ends the pause of an entry instance and runs the deferred actions in order.
     *
     * @param name The name of the entry instance.
     */
    public void resume(String name) {
        Node node = nodes.get(name);
        if (node != null) {
            node.paused = false;
            List<Runnable> actions = new ArrayList<>(node.deferredActions);
            node.deferredActions.clear();
            actions.forEach(node::execute);
        }
    }

    /**
     * Drops the messages between two availability zones in both directions.
     *
     * @param firstZone The first zone.
     * @param secondZone The second zone.
     */
    public void partition(String firstZone, String secondZone) {
        partitions.add(List.of(firstZone, secondZone));
        partitions.add(List.of(secondZone, firstZone));
    }

    /** Removes all partitions. */
    public void healPartitions() {
        partitions.clear();
    }

    /**
     * Runs an action at a node after the delay, unless the zones of the two nodes are partitioned
     * at that time or the node is gone.
     *
     * @param from The sending node.
     * @param to The name of the receiving node.
     * @param action The action, given the receiving node.
     */
    private void deliver(Node from, String to, Consumer<Node> action) {
        scheduler.scheduleAfter(
                delayMillis,
                () -> {
                    Node node = nodes.get(to);
                    if (node != null
                            && !isPartitioned(from.identity.zone(), node.identity.zone())) {
                        node.execute(() -> action.accept(node));
                    }
                });
    }

    /**
     * Returns {@code true} if messages between two zones are dropped.
     *
     * @param firstZone The first zone.
     * @param secondZone The second zone.
     * @return {@code true} if the zones are partitioned.
     */
    private boolean isPartitioned(String firstZone, String secondZone) {
        return partitions.contains(List.of(firstZone, secondZone));
    }

    /** The connection of one entry instance to the network. */
    public final class Node implements PeerNetwork, PeerHandlerRegistry {

        /** The identity of the entry instance. */
        private final InstanceIdentity identity;

        /** The handlers by message type. */
        private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new HashMap<>();

        /** The actions that are deferred to the end of the pause, in order. */
        private final List<Runnable> deferredActions = new ArrayList<>();

        /** Whether the instance was not killed. */
        private boolean alive = true;

        /** Whether the instance is paused. */
        private boolean paused;

        /** The size of all messages that this instance sent, in bytes, lost ones included. */
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
         * Returns the size of all messages that this instance sent.
         *
         * @return The total size in bytes, lost messages included.
         */
        public long sentBytes() {
            return sentBytes;
        }

        /**
         * Returns {@code true} if this instance is neither killed nor paused.
         *
         * @return {@code true} if actions of this instance run at once.
         */
        public boolean isRunning() {
            return alive && !paused;
        }

        /**
         * Runs an action of this instance now, or after its pause, or drops it if the instance was
         * killed.
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
        public boolean send(String instance, PeerMessage message, MessagePriority priority) {
            sentBytes += messageSizer.applyAsInt(message);
            deliver(this, instance, node -> node.handle(identity, message));
            return nodes.containsKey(instance);
        }

        @Override
        public CompletableFuture<PeerMessage> request(
                String instance, PeerMessage message, long timeoutMillis) {
            sentBytes += messageSizer.applyAsInt(message);
            CompletableFuture<PeerMessage> pendingReply = new CompletableFuture<>();
            if (!nodes.containsKey(instance)) {
                failAfter(
                        pendingReply,
                        delayMillis,
                        RequestFailureException.notRun(
                                FailureCode.UNAVAILABLE,
                                "Cannot connect to entry instance: " + instance));
                return pendingReply;
            }
            deliver(this, instance, node -> node.handleRequest(this, message, pendingReply));
            failAfter(
                    pendingReply,
                    timeoutMillis,
                    RequestFailureException.mayHaveRun(
                            FailureCode.UNAVAILABLE, "Cannot await entry instance: " + instance));
            return pendingReply;
        }

        /**
         * Fails a future at this instance after a delay, unless it is complete by then.
         *
         * @param pendingReply The future to fail.
         * @param afterMillis The delay in milliseconds.
         * @param failure The failure.
         */
        private void failAfter(
                CompletableFuture<PeerMessage> pendingReply,
                long afterMillis,
                RequestFailureException failure) {
            scheduler.scheduleAfter(
                    afterMillis, () -> execute(() -> pendingReply.completeExceptionally(failure)));
        }

        /**
         * Handles a request and sends the reply back. A reply that arrives after a restart of the
         * requesting instance is dropped.
         *
         * @param requester The node that sent the request.
         * @param message The message.
         * @param pendingReply The future to complete at the requesting node.
         */
        private void handleRequest(
                Node requester, PeerMessage message, CompletableFuture<PeerMessage> pendingReply) {
            CompletableFuture<? extends PeerMessage> futureReply =
                    handle(requester.identity, message);
            if (futureReply == null) {
                return;
            }
            futureReply.whenComplete(
                    (reply, failure) -> {
                        if (reply != null && alive) {
                            sentBytes += messageSizer.applyAsInt(reply);
                            deliver(
                                    this,
                                    requester.identity.name(),
                                    node -> {
                                        if (node == requester) {
                                            pendingReply.complete(reply);
                                        }
                                    });
                        }
                    });
        }

        /**
         * Passes a message to the handler of its type.
         *
         * @param sender The identity of the sending instance.
         * @param message The message.
         * @return The future reply, or {@code null} if the type has no handler or the message no
         *     reply.
         */
        private @Nullable CompletableFuture<? extends PeerMessage> handle(
                InstanceIdentity sender, PeerMessage message) {
            PeerHandler<PeerMessage> handler = handlers.get(message.getClass());
            return handler == null ? null : handler.handle(sender, message, scheduler.nowMillis());
        }
    }
}
