package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.verdict.FailureCode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Requests slots from the leader of one pool for one entry instance. It follows one leader at a
 * time and reports its held slots to that one. It is thread-safe.
 */
final class PoolClient {

    /** Guards the slots and the follower. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The pool's name. */
    private final String pool;

    /** The identity of this entry instance. */
    private final InstanceIdentity self;

    /** This instance's view of the pool. */
    private final PoolView view;

    /** Sends messages to entry instances. */
    private final PeerSender peers;

    /** The slots that are held or requested. */
    private final SlotTracker slots;

    /** Decides which leader is followed. */
    private final LeaderFollower follower;

    /**
     * Creates a new client.
     *
     * @param pool The pool's name.
     * @param self The identity of this entry instance.
     * @param blackboard The blackboard to read the membership from.
     * @param peers Sends messages to entry instances.
     * @param settings The settings.
     */
    PoolClient(
            String pool,
            InstanceIdentity self,
            Blackboard blackboard,
            PeerSender peers,
            RoutingSettings settings) {
        this.self = self;
        this.pool = pool;
        view = new PoolView(pool, blackboard);
        this.peers = peers;
        slots = new SlotTracker(pool);
        follower = new LeaderFollower(pool, settings);
    }

    /**
     * Requests a slot.
     *
     * @param request The request.
     * @param cacheHints The estimates of the chat's cached tokens.
     * @param nowMillis The current time in milliseconds.
     * @return The granted slot.
     */
    CompletableFuture<Grant> admit(
            WorkRequest request, List<LeaderMessage.CacheHint> cacheHints, long nowMillis) {
        ActionQueue actions = new ActionQueue(nowMillis);
        PendingRequest added;
        lock.lock();
        try {
            added = slots.addPending(request, cacheHints);
            if (follower.hasLease(nowMillis)) {
                send(added, actions);
            } else if (follower.hasNoLeader()) {
                followNextLeader(actions);
            }
        } finally {
            lock.unlock();
        }
        actions.runAll();
        return added.future;
    }

    /**
     * Releases a slot.
     *
     * @param requestNumber The number of the request.
     * @param cachedTokens The tokens of the chat that the endpoint has cached, or zero.
     * @param endpointFailed Whether the endpoint refused the work or aborted it.
     * @param nowMillis The current time in milliseconds.
     */
    void release(long requestNumber, int cachedTokens, boolean endpointFailed, long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    HeldSlot slot = slots.removeHeld(requestNumber);
                    if (slot != null) {
                        release(
                                follower.leader(),
                                new LeaderMessage.Release(
                                        pool,
                                        requestNumber,
                                        slot.chatHash(),
                                        cachedTokens,
                                        endpointFailed),
                                actions);
                    }
                });
    }

    /**
     * Handles the reply to a request for a slot.
     *
     * @param leader The name of the leader that replied.
     * @param reply The reply.
     * @param nowMillis The current time in milliseconds.
     */
    void onAdmitReply(String leader, LeaderMessage.AdmitReply reply, long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    boolean current =
                            follower.hasLease(nowMillis) && leader.equals(follower.leader());
                    switch (ReplyStatus.of(reply.status())) {
                        case GRANTED -> onGranted(leader, reply, current, actions);
                        case NOT_JOINED ->
                                follower.rejoin(leader, nowMillis)
                                        .ifPresent(newLeader -> sendReport(newLeader, actions));
                        case REDIRECTED ->
                                follower.redirect(leader, reply.target(), nowMillis)
                                        .ifPresent(newLeader -> sendReport(newLeader, actions));
                        case JOINED -> {}
                        case OVERLOADED, CEILING_REACHED, NO_ENDPOINT -> {
                            if (current) {
                                fail(
                                        reply.requestNumber(),
                                        ReplyStatus.of(reply.status()).failureCode(),
                                        actions);
                            }
                        }
                    }
                });
    }

    /**
     * Handles the reply to a report or a renewal, or a redirection.
     *
     * @param leader The name of the leader that replied.
     * @param reply The reply.
     * @param nowMillis The current time in milliseconds.
     */
    void onLeaderReply(String leader, LeaderMessage.LeaderReply reply, long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    switch (ReplyStatus.of(reply.status())) {
                        case JOINED -> {
                            if (follower.onJoined(leader, reply.sentAtMillis(), nowMillis)) {
                                resendPending(actions);
                            }
                        }
                        case REDIRECTED ->
                                follower.redirect(leader, reply.leader(), nowMillis)
                                        .ifPresent(newLeader -> sendReport(newLeader, actions));
                        default ->
                                follower.rejoin(leader, nowMillis)
                                        .ifPresent(newLeader -> sendReport(newLeader, actions));
                    }
                });
    }

    /**
     * Handles the follow request of an instance that acquires leadership.
     *
     * @param leader The name of the entry instance.
     * @param nowMillis The current time in milliseconds.
     * @return The reply.
     */
    LeaderMessage.FollowReply onFollowRequest(String leader, long nowMillis) {
        ActionQueue actions = new ActionQueue(nowMillis);
        LeaderMessage.FollowReply reply;
        lock.lock();
        try {
            boolean joined = follower.onFollowRequest(leader, nowMillis);
            if (joined) {
                resendPending(actions);
            } else {
                renewLease(actions);
            }
            reply =
                    new LeaderMessage.FollowReply(
                            pool, joined, follower.leader(), slots.toReport(nowMillis), List.of());
        } finally {
            lock.unlock();
        }
        actions.runAll();
        return reply;
    }

    /**
     * Returns the leader that this client follows with a valid lease.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The name of the leader, or empty.
     */
    Optional<String> followedLeader(long nowMillis) {
        lock.lock();
        try {
            return follower.hasLease(nowMillis) ? Optional.of(follower.leader()) : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns {@code true} if a leader failed recently.
     *
     * @param leader The name of the leader.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the leader failed recently.
     */
    boolean hasRecentlyFailed(String leader, long nowMillis) {
        lock.lock();
        try {
            return follower.hasRecentlyFailed(leader, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a replica of this instance's slots if it is the leader itself.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The replica, or empty if another instance is the leader.
     */
    Optional<LeaderMessage.GrantReplica> ownReplica(long nowMillis) {
        lock.lock();
        try {
            return self.name().equals(follower.leader())
                    ? Optional.of(
                            LeaderMessage.GrantReplica.of(
                                    pool,
                                    self,
                                    AdmissionTracker.ORPHAN_RETENTION_MILLIS,
                                    slots.toReport(nowMillis).slots()))
                    : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the instance that others would follow if this one failed as leader.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The name of the next leader, or empty if there is none.
     */
    Optional<String> nextLeader(long nowMillis) {
        lock.lock();
        try {
            return follower.nextLeader(self.name(), view.membership(), nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Runs the periodic work and the time-outs that are due.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void step(long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    expirePending(actions);
                    follower.dropLostLeader(nowMillis);
                    if (follower.hasNoLeader()) {
                        if (!slots.isEmpty()) {
                            followNextLeader(actions);
                        }
                    } else if (follower.isRenewalDue(
                            slots.oldestSentAtMillis(nowMillis), nowMillis)) {
                        renewLease(actions);
                    }
                });
    }

    /**
     * Runs an action under the lock, then the collected actions without it.
     *
     * @param nowMillis The current time in milliseconds.
     * @param action The action.
     */
    private void runLocked(long nowMillis, Consumer<ActionQueue> action) {
        ActionQueue actions = new ActionQueue(nowMillis);
        lock.lock();
        try {
            action.accept(actions);
        } finally {
            lock.unlock();
        }
        actions.runAll();
    }

    /**
     * Handles a granted slot, which is released if it cannot be used.
     *
     * @param leader The leader that granted it.
     * @param reply The grant.
     * @param current {@code true} if the leader is followed with a valid lease.
     * @param actions Collects the actions to run after unlocking.
     */
    private void onGranted(
            String leader, LeaderMessage.AdmitReply reply, boolean current, ActionQueue actions) {
        PendingRequest waiting = slots.pending(reply.requestNumber());
        if (!current || waiting == null) {
            release(leader, LeaderMessage.Release.of(pool, reply.requestNumber()), actions);
            return;
        }
        EndpointIdentity identity = new EndpointIdentity(reply.target(), reply.incarnation());
        Optional<Endpoint> endpoint = view.accepting(identity);
        if (endpoint.isEmpty()) {
            release(leader, LeaderMessage.Release.of(pool, reply.requestNumber()), actions);
            waiting.excludedEndpoints.add(reply.target());
            resend(waiting, actions);
            return;
        }
        slots.removePending(reply.requestNumber());
        slots.markHeld(waiting, waiting.toHeldSlot(identity));
        Grant grant =
                new Grant(waiting.requestNumber, endpoint.get(), reply.expectedCachedTokens());
        actions.add(
                () -> {
                    if (!waiting.future.complete(grant)) {
                        release(waiting.requestNumber, 0, false, actions.nowMillis());
                    }
                });
    }

    /**
     * Chooses a leader and reports to it.
     *
     * @param actions Collects the actions to run after unlocking.
     */
    private void followNextLeader(ActionQueue actions) {
        follower.chooseLeader(view.membership(), actions.nowMillis())
                .ifPresent(leader -> sendReport(leader, actions));
    }

    /**
     * Renews the lease.
     *
     * @param actions Collects the actions to run after unlocking.
     */
    private void renewLease(ActionQueue actions) {
        follower.onRenewalSent(actions.nowMillis());
        requestLeader(follower.leader(), slots.toRenewal(actions.nowMillis()), actions);
    }

    /**
     * Reports the held slots to a leader.
     *
     * @param leader The leader.
     * @param actions Collects the actions to run after unlocking.
     */
    private void sendReport(String leader, ActionQueue actions) {
        requestLeader(leader, slots.toReport(actions.nowMillis()), actions);
    }

    /**
     * Sends a request to a leader and handles its reply.
     *
     * @param leader The leader.
     * @param message The message.
     * @param actions Collects the actions to run after unlocking.
     */
    private void requestLeader(String leader, LeaderMessage message, ActionQueue actions) {
        actions.add(
                () ->
                        peers.request(
                                leader,
                                message,
                                actions.nowMillis(),
                                (result, atMillis) -> onCallResult(leader, result, atMillis)));
    }

    /**
     * Handles the result of a request to a leader.
     *
     * @param leader The leader.
     * @param result The result.
     * @param nowMillis The current time in milliseconds.
     */
    private void onCallResult(String leader, PeerSender.CallResult result, long nowMillis) {
        if (result.reply() instanceof LeaderMessage.LeaderReply reply) {
            onLeaderReply(leader, reply, nowMillis);
        } else if (result.unreachable()) {
            runLocked(
                    nowMillis,
                    actions -> {
                        if (follower.onUnreachable(leader, nowMillis)) {
                            followNextLeader(actions);
                        }
                    });
        }
    }

    /**
     * Fails the pending requests whose deadlines have passed.
     *
     * @param actions Collects the actions to run after unlocking.
     */
    private void expirePending(ActionQueue actions) {
        List<PendingRequest> late =
                slots.pending().stream()
                        .filter(waiting -> waiting.request.deadlineMillis() < actions.nowMillis())
                        .toList();
        for (PendingRequest waiting : late) {
            if (waiting.sentAtMillis > 0) {
                release(
                        follower.leader(),
                        LeaderMessage.Release.of(pool, waiting.requestNumber),
                        actions);
            }
            fail(waiting.requestNumber, FailureCode.DEADLINE, actions);
        }
    }

    /**
     * Fails a pending request, which did not run.
     *
     * @param requestNumber The number of the request.
     * @param code The code of the failure.
     * @param actions Collects the actions to run after unlocking.
     */
    private void fail(long requestNumber, FailureCode code, ActionQueue actions) {
        PendingRequest waiting = slots.removePending(requestNumber);
        if (waiting != null) {
            actions.add(() -> waiting.fail(code));
        }
    }

    /**
     * Sends all pending requests under new numbers, since an earlier leader may still reply to the
     * old ones.
     *
     * @param actions Collects the actions to run after unlocking.
     */
    private void resendPending(ActionQueue actions) {
        slots.pending().forEach(waiting -> resend(waiting, actions));
    }

    /**
     * Sends a pending request again under a new number.
     *
     * @param waiting The request.
     * @param actions Collects the actions to run after unlocking.
     */
    private void resend(PendingRequest waiting, ActionQueue actions) {
        send(slots.renumber(waiting), actions);
    }

    /**
     * Sends a pending request to the leader that is followed.
     *
     * @param waiting The request.
     * @param actions Collects the actions to run after unlocking.
     */
    private void send(PendingRequest waiting, ActionQueue actions) {
        waiting.sentAtMillis = actions.nowMillis();
        String leader = follower.leader();
        LeaderMessage.AdmitRequest message =
                waiting.toAdmitRequest(pool, view.capacity(), actions.nowMillis());
        actions.add(() -> peers.send(leader, message, actions.nowMillis()));
    }

    /**
     * Releases a slot at the leader that granted it.
     *
     * @param leader The leader, or an empty string if there is none.
     * @param release The message.
     * @param actions Collects the actions to run after unlocking.
     */
    private void release(String leader, LeaderMessage.Release release, ActionQueue actions) {
        if (!leader.isEmpty()) {
            actions.add(() -> peers.send(leader, release, actions.nowMillis()));
        }
    }
}
