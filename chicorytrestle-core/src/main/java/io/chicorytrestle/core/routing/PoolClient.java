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
 * Asks the steward of one pool for places on behalf of one entry instance. It follows one steward
 * at a time and reports all that it holds to the one that it follows. Several threads may call it.
 */
final class PoolClient {

    /** Guards the state. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The pool's name. */
    private final String pool;

    /** The identity of this entry instance. */
    private final InstanceIdentity self;

    /** This instance's view of the pool. */
    private final PoolView view;

    /** Carries messages. */
    private final PeerSender peers;

    /** The places that are held or waited for. */
    private final SlotTracker slots;

    /** Decides which steward is followed. */
    private final LeaderFollower follower;

    /**
     * Creates a new client.
     *
     * @param pool The pool's name.
     * @param self The identity of this entry instance.
     * @param blackboard The blackboard to read the membership from.
     * @param post Carries messages.
     * @param settings The settings.
     */
    PoolClient(
            String pool,
            InstanceIdentity self,
            Blackboard blackboard,
            PeerSender post,
            RoutingSettings settings) {
        this.self = self;
        this.pool = pool;
        view = new PoolView(pool, blackboard);
        this.peers = post;
        slots = new SlotTracker(pool);
        follower = new LeaderFollower(pool, settings);
    }

    /**
     * Asks for a place.
     *
     * @param request The request.
     * @param claims What is believed of the chat's cached tokens.
     * @param nowMillis The present time in milliseconds.
     * @return The place that is granted.
     */
    CompletableFuture<Grant> admit(
            WorkRequest request, List<LeaderMessage.CacheHint> claims, long nowMillis) {
        ActionQueue outbox = new ActionQueue(nowMillis);
        PendingRequest added;
        lock.lock();
        try {
            added = slots.addPending(request, claims);
            if (follower.hasLease(nowMillis)) {
                send(added, outbox);
            } else if (follower.hasNoLeader()) {
                followNextLeader(outbox);
            }
        } finally {
            lock.unlock();
        }
        outbox.runAll();
        return added.future;
    }

    /**
     * Hands a place back.
     *
     * @param number The number of the request.
     * @param cachedTokens The tokens that the endpoint holds of the chat now, or zero.
     * @param endpointFailed Whether the endpoint refused the work or broke off.
     * @param nowMillis The present time in milliseconds.
     */
    void release(long number, int cachedTokens, boolean endpointFailed, long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    HeldSlot place = slots.removeHeld(number);
                    if (place != null) {
                        release(
                                follower.leader(),
                                new LeaderMessage.Release(
                                        pool,
                                        number,
                                        place.chatHash(),
                                        cachedTokens,
                                        endpointFailed),
                                outbox);
                    }
                });
    }

    /**
     * Handles the answer to a request.
     *
     * @param steward The name of the steward that answered.
     * @param reply The answer.
     * @param nowMillis The present time in milliseconds.
     */
    void onAdmitReply(String steward, LeaderMessage.AdmitReply reply, long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    boolean current =
                            follower.hasLease(nowMillis) && steward.equals(follower.leader());
                    switch (ReplyStatus.of(reply.status())) {
                        case GRANTED -> onGranted(steward, reply, current, outbox);
                        case NOT_JOINED ->
                                follower.rejoin(steward, nowMillis)
                                        .ifPresent(to -> sendReport(to, outbox));
                        case REDIRECTED ->
                                follower.redirect(steward, reply.target(), nowMillis)
                                        .ifPresent(to -> sendReport(to, outbox));
                        case JOINED -> {}
                        case OVERLOADED, CEILING_REACHED, NO_ENDPOINT -> {
                            if (current) {
                                fail(
                                        reply.requestNumber(),
                                        ReplyStatus.of(reply.status()).failureCode(),
                                        outbox);
                            }
                        }
                    }
                });
    }

    /**
     * Handles the answer to a report or a renewal, or a redirection.
     *
     * @param steward The name of the steward that answered.
     * @param reply The answer.
     * @param nowMillis The present time in milliseconds.
     */
    void onLeaderReply(String steward, LeaderMessage.LeaderReply reply, long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    switch (ReplyStatus.of(reply.status())) {
                        case JOINED -> {
                            if (follower.onJoined(steward, reply.sentAtMillis(), nowMillis)) {
                                resendPending(outbox);
                            }
                        }
                        case REDIRECTED ->
                                follower.redirect(steward, reply.leader(), nowMillis)
                                        .ifPresent(to -> sendReport(to, outbox));
                        default ->
                                follower.rejoin(steward, nowMillis)
                                        .ifPresent(to -> sendReport(to, outbox));
                    }
                });
    }

    /**
     * Handles the inquiry of an entry instance that takes office.
     *
     * @param steward The name of the entry instance.
     * @param nowMillis The present time in milliseconds.
     * @return The answer.
     */
    LeaderMessage.FollowReply onFollowRequest(String steward, long nowMillis) {
        ActionQueue outbox = new ActionQueue(nowMillis);
        LeaderMessage.FollowReply reply;
        lock.lock();
        try {
            boolean joined = follower.onFollowRequest(steward, nowMillis);
            if (joined) {
                resendPending(outbox);
            } else {
                renewLease(outbox);
            }
            reply =
                    new LeaderMessage.FollowReply(
                            pool, joined, follower.leader(), slots.toReport(nowMillis), List.of());
        } finally {
            lock.unlock();
        }
        outbox.runAll();
        return reply;
    }

    /**
     * Returns the steward that this client follows with a valid lease.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The name of the steward, or empty.
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
     * Returns {@code true} if a steward failed lately.
     *
     * @param steward The name of the steward.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the steward failed lately.
     */
    boolean hasRecentlyFailed(String steward, long nowMillis) {
        lock.lock();
        try {
            return follower.hasRecentlyFailed(steward, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns what this instance holds, if it is the steward itself.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The places, or empty if another instance is the steward.
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
     * Returns the entry instance that others would follow if this one failed as steward.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The name of the next steward, or empty if there is none.
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
     * Takes one step.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void step(long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    expirePending(outbox);
                    follower.dropLostLeader(nowMillis);
                    if (follower.hasNoLeader()) {
                        if (!slots.isEmpty()) {
                            followNextLeader(outbox);
                        }
                    } else if (follower.isRenewalDue(
                            slots.oldestSentAtMillis(nowMillis), nowMillis)) {
                        renewLease(outbox);
                    }
                });
    }

    /**
     * Acts under the lock and lets happen afterwards what is to happen without it.
     *
     * @param nowMillis The present time in milliseconds.
     * @param action The action.
     */
    private void runLocked(long nowMillis, Consumer<ActionQueue> action) {
        ActionQueue outbox = new ActionQueue(nowMillis);
        lock.lock();
        try {
            action.accept(outbox);
        } finally {
            lock.unlock();
        }
        outbox.runAll();
    }

    /**
     * Handles a grant.
     *
     * @param steward The steward that granted.
     * @param reply The grant.
     * @param current {@code true} if the steward is followed with a valid lease.
     * @param outbox Takes what is to happen afterwards.
     */
    private void onGranted(
            String steward, LeaderMessage.AdmitReply reply, boolean current, ActionQueue outbox) {
        PendingRequest waiting = slots.pending(reply.requestNumber());
        if (!current || waiting == null) {
            release(steward, LeaderMessage.Release.of(pool, reply.requestNumber()), outbox);
            return;
        }
        EndpointIdentity identity = new EndpointIdentity(reply.target(), reply.incarnation());
        Optional<Endpoint> endpoint = view.accepting(identity);
        if (endpoint.isEmpty()) {
            release(steward, LeaderMessage.Release.of(pool, reply.requestNumber()), outbox);
            waiting.excludedEndpoints.add(reply.target());
            resend(waiting, outbox);
            return;
        }
        slots.removePending(reply.requestNumber());
        slots.markHeld(waiting, waiting.toHeldSlot(identity));
        Grant grant =
                new Grant(waiting.requestNumber, endpoint.get(), reply.expectedCachedTokens());
        outbox.add(
                () -> {
                    if (!waiting.future.complete(grant)) {
                        release(waiting.requestNumber, 0, false, outbox.nowMillis());
                    }
                });
    }

    /**
     * Follows the next steward.
     *
     * @param outbox Takes what is to happen afterwards.
     */
    private void followNextLeader(ActionQueue outbox) {
        follower.chooseLeader(view.membership(), outbox.nowMillis())
                .ifPresent(steward -> sendReport(steward, outbox));
    }

    /**
     * Renews the lease.
     *
     * @param outbox Takes what is to happen afterwards.
     */
    private void renewLease(ActionQueue outbox) {
        follower.onRenewalSent(outbox.nowMillis());
        requestLeader(follower.leader(), slots.toRenewal(outbox.nowMillis()), outbox);
    }

    /**
     * Reports to a steward.
     *
     * @param steward The steward.
     * @param outbox Takes what is to happen afterwards.
     */
    private void sendReport(String steward, ActionQueue outbox) {
        requestLeader(steward, slots.toReport(outbox.nowMillis()), outbox);
    }

    /**
     * Asks a steward and hands its answer on.
     *
     * @param steward The steward.
     * @param message The message.
     * @param outbox Takes what is to happen afterwards.
     */
    private void requestLeader(String steward, LeaderMessage message, ActionQueue outbox) {
        outbox.add(
                () ->
                        peers.request(
                                steward,
                                message,
                                outbox.nowMillis(),
                                (result, atMillis) -> onCallResult(steward, result, atMillis)));
    }

    /**
     * Handles the result of asking a steward.
     *
     * @param steward The steward.
     * @param result The result.
     * @param nowMillis The present time in milliseconds.
     */
    private void onCallResult(String steward, PeerSender.CallResult result, long nowMillis) {
        if (result.reply() instanceof LeaderMessage.LeaderReply reply) {
            onLeaderReply(steward, reply, nowMillis);
        } else if (result.unreachable()) {
            runLocked(
                    nowMillis,
                    outbox -> {
                        if (follower.onUnreachable(steward, nowMillis)) {
                            followNextLeader(outbox);
                        }
                    });
        }
    }

    /**
     * Fails the requests whose deadline has passed.
     *
     * @param outbox Takes what is to happen afterwards.
     */
    private void expirePending(ActionQueue outbox) {
        List<PendingRequest> late =
                slots.pending().stream()
                        .filter(waiting -> waiting.request.deadlineMillis() < outbox.nowMillis())
                        .toList();
        for (PendingRequest waiting : late) {
            if (waiting.sentAtMillis > 0) {
                release(
                        follower.leader(),
                        LeaderMessage.Release.of(pool, waiting.requestNumber),
                        outbox);
            }
            fail(waiting.requestNumber, FailureCode.DEADLINE, outbox);
        }
    }

    /**
     * Fails a request that did not run.
     *
     * @param number The number of the request.
     * @param code The code of the failure.
     * @param outbox Takes what is to happen afterwards.
     */
    private void fail(long number, FailureCode code, ActionQueue outbox) {
        PendingRequest waiting = slots.removePending(number);
        if (waiting != null) {
            outbox.add(() -> waiting.fail(code));
        }
    }

    /**
     * Sends all requests that wait, under new numbers, since an earlier steward may still answer to
     * the old ones.
     *
     * @param outbox Takes what is to happen afterwards.
     */
    private void resendPending(ActionQueue outbox) {
        slots.pending().forEach(waiting -> resend(waiting, outbox));
    }

    /**
     * Sends a request once more under a new number.
     *
     * @param waiting The request.
     * @param outbox Takes what is to happen afterwards.
     */
    private void resend(PendingRequest waiting, ActionQueue outbox) {
        send(slots.renumber(waiting), outbox);
    }

    /**
     * Sends a request to the steward that is followed.
     *
     * @param waiting The request.
     * @param outbox Takes what is to happen afterwards.
     */
    private void send(PendingRequest waiting, ActionQueue outbox) {
        waiting.sentAtMillis = outbox.nowMillis();
        String steward = follower.leader();
        LeaderMessage.AdmitRequest message =
                waiting.toAdmitRequest(pool, view.capacity(), outbox.nowMillis());
        outbox.add(() -> peers.send(steward, message, outbox.nowMillis()));
    }

    /**
     * Hands a place back to the steward that granted it.
     *
     * @param steward The steward, or empty if there is none.
     * @param release The message.
     * @param outbox Takes what is to happen afterwards.
     */
    private void release(String steward, LeaderMessage.Release release, ActionQueue outbox) {
        if (!steward.isEmpty()) {
            outbox.add(() -> peers.send(steward, release, outbox.nowMillis()));
        }
    }
}
