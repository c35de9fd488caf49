package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongConsumer;
import java.util.function.ObjLongConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the two sides of one entry instance for each pool, the one that asks for places and the one
 * that grants them in office, and carries their messages. Several threads may call it.
 */
final class PoolMessageRouter implements PeerSender {

    /** The blackboard to read the table and the membership from. */
    private final Blackboard blackboard;

    /** The identity of this entry instance. */
    private final InstanceIdentity self;

    /** Sends messages to other entry instances. */
    private final PeerNetwork network;

    /** The settings. */
    private final RoutingSettings settings;

    /** The two sides by pool. */
    private final ShardedMap<String, PoolRoles> poolRoles = ShardedMap.make();

    /** The answers that wait for the next step. */
    private final Queue<LongConsumer> pendingReplies = new ConcurrentLinkedQueue<>();

    /**
     * Creates a new desk.
     *
     * @param blackboard The blackboard to read the table and the membership from.
     * @param self The identity of this entry instance.
     * @param network Sends messages to other entry instances.
     * @param settings The settings.
     */
    PoolMessageRouter(
            Blackboard blackboard,
            InstanceIdentity self,
            PeerNetwork network,
            RoutingSettings settings) {
        this.blackboard = blackboard;
        this.self = self;
        this.network = network;
        this.settings = settings;
    }

    /**
     * Registers the handlers of all messages.
     *
     * @param registry Takes the handlers.
     */
    void register(PeerHandlerRegistry registry) {
        register(registry, LeaderMessage.AdmitRequest.class);
        register(registry, LeaderMessage.AdmitReply.class);
        register(registry, LeaderMessage.Release.class);
        register(registry, LeaderMessage.Report.class);
        register(registry, LeaderMessage.Renewal.class);
        register(registry, LeaderMessage.LeaderReply.class);
        register(registry, LeaderMessage.FollowRequest.class);
        register(registry, LeaderMessage.GrantReplica.class);
    }

    /**
     * Returns the side that asks for places of a pool.
     *
     * @param pool The pool's name.
     * @return The side.
     */
    PoolClient client(String pool) {
        return poolRoles(pool).client;
    }

    /**
     * Takes one step.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void step(long nowMillis) {
        LongConsumer answer = pendingReplies.poll();
        while (answer != null) {
            answer.accept(nowMillis);
            answer = pendingReplies.poll();
        }
        List<PoolRoles> all = new ArrayList<>();
        poolRoles.forEach((pool, one) -> all.add(one));
        for (PoolRoles one : all) {
            one.leader.step(nowMillis);
            one.client.step(nowMillis);
            sendReplicas(one, nowMillis);
        }
    }

    /**
     * Shows what only this instance knows as steward to the one that would follow it.
     *
     * @param one The two sides of a pool.
     * @param nowMillis The present time in milliseconds.
     */
    private void sendReplicas(PoolRoles one, long nowMillis) {
        Optional<LeaderMessage.GrantReplica> own = one.client.ownReplica(nowMillis);
        if (own.isEmpty() || !one.replicas.isSendDue(own.get(), nowMillis)) {
            return;
        }
        one.client
                .nextLeader(nowMillis)
                .ifPresent(
                        name -> {
                            send(name, own.get(), nowMillis);
                            one.leader
                                    .orphanReplicas(nowMillis)
                                    .forEach(shadow -> send(name, shadow, nowMillis));
                        });
    }

    @Override
    public void send(String instance, PeerMessage message, long nowMillis) {
        if (instance.equals(self.name())) {
            handle(self, (LeaderMessage) message, nowMillis);
        } else {
            network.send(instance, message, MessagePriority.REQUEST);
        }
    }

    @Override
    public void request(
            String instance,
            PeerMessage message,
            long nowMillis,
            ObjLongConsumer<CallResult> consumer) {
        if (instance.equals(self.name())) {
            PeerMessage answer = handle(self, (LeaderMessage) message, nowMillis);
            consumer.accept(new CallResult(answer, false), nowMillis);
            return;
        }
        network.request(instance, message, settings.replyTimeoutMillis())
                .whenComplete(
                        (answer, failure) -> {
                            CallResult result = new CallResult(answer, isNotSent(failure));
                            pendingReplies.add(atMillis -> consumer.accept(result, atMillis));
                        });
    }

    /**
     * Registers the handler of one type of messages.
     *
     * @param registry Takes the handler.
     * @param type The type of the messages.
     * @param <M> The type of the messages.
     */
    private <M extends LeaderMessage> void register(PeerHandlerRegistry registry, Class<M> type) {
        registry.register(
                type,
                (sender, message, nowMillis) -> {
                    PeerMessage answer = handle(sender, message, nowMillis);
                    return answer == null ? null : CompletableFuture.completedFuture(answer);
                });
    }

    /**
     * Handles a message.
     *
     * @param sender The sender.
     * @param message The message.
     * @param nowMillis The present time in milliseconds.
     * @return The answer, or {@code null} if there is none.
     */
    private @Nullable PeerMessage handle(
            InstanceIdentity sender, LeaderMessage message, long nowMillis) {
        PoolRoles one = poolRoles(message.pool());
        if (message instanceof LeaderMessage.AdmitRequest request) {
            one.leader.onAdmit(sender, request, nowMillis);
        } else if (message instanceof LeaderMessage.AdmitReply reply) {
            one.client.onAdmitReply(sender.name(), reply, nowMillis);
        } else if (message instanceof LeaderMessage.Release release) {
            one.leader.onRelease(sender, release, nowMillis);
        } else if (message instanceof LeaderMessage.GrantReplica shadow) {
            one.replicas.put(shadow, nowMillis);
        } else if (message instanceof LeaderMessage.LeaderReply reply) {
            one.client.onLeaderReply(sender.name(), reply, nowMillis);
        } else if (message instanceof LeaderMessage.Report report) {
            return one.leader.onReport(sender, report, nowMillis);
        } else if (message instanceof LeaderMessage.Renewal renewal) {
            return one.leader.onRenewal(sender, renewal, nowMillis);
        } else if (message instanceof LeaderMessage.FollowRequest) {
            return one.client
                    .onFollowRequest(sender.name(), nowMillis)
                    .withReplicas(one.replicas.all(message.pool(), nowMillis));
        }
        return null;
    }

    /**
     * Returns the two sides of a pool.
     *
     * @param pool The pool's name.
     * @return The two sides, which are created if there are none.
     */
    private PoolRoles poolRoles(String pool) {
        return Objects.requireNonNull(
                poolRoles.compute(
                        pool,
                        present -> {
                            if (present != null) {
                                return present;
                            }
                            PoolClient client =
                                    new PoolClient(pool, self, blackboard, this, settings);
                            return new PoolRoles(
                                    client,
                                    new PoolLeader(pool, self, blackboard, this, client, settings),
                                    new GrantReplicaStore());
                        }));
    }

    /**
     * Returns {@code true} if a failure says that certainly no byte was sent.
     *
     * @param failure The failure, or {@code null} if there is none.
     * @return {@code true} if certainly no byte was sent.
     */
    private static boolean isNotSent(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RequestFailureException refused
                && refused.verdict() == Verdict.NOT_RUN;
    }

    /**
     * Holds the two sides of a pool.
     *
     * @param client The side that asks for places.
     * @param leader The side that grants them in office.
     * @param replicas The places that other stewards showed.
     */
    private record PoolRoles(PoolClient client, PoolLeader leader, GrantReplicaStore replicas) {}
}
