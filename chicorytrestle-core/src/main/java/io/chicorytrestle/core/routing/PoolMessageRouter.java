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
 * Holds the client and the leader of each pool on one entry instance and routes messages to and
 * from them. It is thread-safe.
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

    /** The client and the leader of each pool, by pool name. */
    private final ShardedMap<String, PoolRoles> poolRoles = ShardedMap.make();

    /** The replies from other instances, which the next step handles. */
    private final Queue<LongConsumer> pendingReplies = new ConcurrentLinkedQueue<>();

    /**
     * Creates a router without pools.
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
     * Registers the handlers of all leader messages.
     *
     * @param registry Receives the handlers.
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
     * Returns the client of a pool.
     *
     * @param pool The pool's name.
     * @return The client, which is created if there is none.
     */
    PoolClient client(String pool) {
        return poolRoles(pool).client;
    }

    /**
     * Runs the periodic work and the time-outs that are due.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void step(long nowMillis) {
        LongConsumer reply = pendingReplies.poll();
        while (reply != null) {
            reply.accept(nowMillis);
            reply = pendingReplies.poll();
        }
        List<PoolRoles> all = new ArrayList<>();
        poolRoles.forEach((pool, roles) -> all.add(roles));
        for (PoolRoles roles : all) {
            roles.leader.step(nowMillis);
            roles.client.step(nowMillis);
            sendReplicas(roles, nowMillis);
        }
    }

    /**
     * Sends the slots that only this instance knows as leader to the instance that would succeed
     * it.
     *
     * @param roles The client and the leader of a pool.
     * @param nowMillis The current time in milliseconds.
     */
    private void sendReplicas(PoolRoles roles, long nowMillis) {
        Optional<LeaderMessage.GrantReplica> own = roles.client.ownReplica(nowMillis);
        if (own.isEmpty() || !roles.replicas.isSendDue(own.get(), nowMillis)) {
            return;
        }
        roles.client
                .nextLeader(nowMillis)
                .ifPresent(
                        name -> {
                            send(name, own.get(), nowMillis);
                            roles.leader
                                    .orphanReplicas(nowMillis)
                                    .forEach(replica -> send(name, replica, nowMillis));
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
            PeerMessage reply = handle(self, (LeaderMessage) message, nowMillis);
            consumer.accept(new CallResult(reply, false), nowMillis);
            return;
        }
        network.request(instance, message, settings.replyTimeoutMillis())
                .whenComplete(
                        (reply, failure) -> {
                            CallResult result = new CallResult(reply, isNotSent(failure));
                            pendingReplies.add(atMillis -> consumer.accept(result, atMillis));
                        });
    }

    /**
     * Registers the handler of one type of messages.
     *
     * @param registry Receives the handler.
     * @param type The type of the messages.
     * @param <M> The type of the messages.
     */
    private <M extends LeaderMessage> void register(PeerHandlerRegistry registry, Class<M> type) {
        registry.register(
                type,
                (sender, message, nowMillis) -> {
                    PeerMessage reply = handle(sender, message, nowMillis);
                    return reply == null ? null : CompletableFuture.completedFuture(reply);
                });
    }

    /**
     * Passes a message to the client or the leader of its pool.
     *
     * @param sender The sender.
     * @param message The message.
     * @param nowMillis The current time in milliseconds.
     * @return The reply, or {@code null} if the message has none.
     */
    private @Nullable PeerMessage handle(
            InstanceIdentity sender, LeaderMessage message, long nowMillis) {
        PoolRoles roles = poolRoles(message.pool());
        if (message instanceof LeaderMessage.AdmitRequest request) {
            roles.leader.onAdmit(sender, request, nowMillis);
        } else if (message instanceof LeaderMessage.AdmitReply reply) {
            roles.client.onAdmitReply(sender.name(), reply, nowMillis);
        } else if (message instanceof LeaderMessage.Release release) {
            roles.leader.onRelease(sender, release, nowMillis);
        } else if (message instanceof LeaderMessage.GrantReplica replica) {
            roles.replicas.put(replica, nowMillis);
        } else if (message instanceof LeaderMessage.LeaderReply reply) {
            roles.client.onLeaderReply(sender.name(), reply, nowMillis);
        } else if (message instanceof LeaderMessage.Report report) {
            return roles.leader.onReport(sender, report, nowMillis);
        } else if (message instanceof LeaderMessage.Renewal renewal) {
            return roles.leader.onRenewal(sender, renewal, nowMillis);
        } else if (message instanceof LeaderMessage.FollowRequest) {
            return roles.client
                    .onFollowRequest(sender.name(), nowMillis)
                    .withReplicas(roles.replicas.all(message.pool(), nowMillis));
        }
        return null;
    }

    /**
     * Returns the client and the leader of a pool.
     *
     * @param pool The pool's name.
     * @return The client and the leader, which are created if there are none.
     */
    private PoolRoles poolRoles(String pool) {
        return Objects.requireNonNull(
                poolRoles.compute(
                        pool,
                        current -> {
                            if (current != null) {
                                return current;
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
     * Returns {@code true} if a failure proves that no byte was sent.
     *
     * @param failure The failure, or {@code null} if there is none.
     * @return {@code true} if it is certain that no byte was sent.
     */
    private static boolean isNotSent(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RequestFailureException refused
                && refused.verdict() == Verdict.NOT_RUN;
    }

    /**
     * Holds the client and the leader of each pool on one entry instance and routes messages to and
     * from them. It is thread-safe.
     *
     * @param client Requests slots for this entry instance.
     * @param leader Grants slots while this entry instance leads the pool.
     * @param replicas The slots that other leaders replicated to this instance.
     */
    private record PoolRoles(PoolClient client, PoolLeader leader, GrantReplicaStore replicas) {}
}
