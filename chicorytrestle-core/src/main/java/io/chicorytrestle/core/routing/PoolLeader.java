package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.limit.FairQueue;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/** Grants the slots of one pool while its entry instance leads the pool. It is thread-safe. */
final class PoolLeader {

    /** The maximum queue length of a workspace without a row in the table. */
    private static final int DEFAULT_QUEUE_REQUESTS = 64;

    /** The divisor of a lease for the margin that {@link #leaseEnd} adds. */
    private static final long LEASE_MARGIN_DIVISOR = 4;

    /** Guards all mutable state. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The pool's name. */
    private final String pool;

    /** The blackboard to read the table and the membership from. */
    private final Blackboard blackboard;

    /** Sends messages to entry instances. */
    private final PeerSender peers;

    /** The settings. */
    private final RoutingSettings settings;

    /** Decides whether this instance may grant slots. */
    private final LeaderTerm term;

    /** The slots in use and the leases of their holders. */
    private final AdmissionTracker tracker = new AdmissionTracker();

    /** The endpoints of the pool. */
    private final PoolEndpoints endpoints;

    /** The requests that wait for a slot. */
    private final FairQueue<QueuedRequest> queue = new FairQueue<>();

    /** The engines that ran the last turns of chats. */
    private final ChatPlacementCache chatPlacements = new ChatPlacementCache();

    /**
     * Creates an inactive leader.
     *
     * @param pool The pool's name.
     * @param self The identity of this entry instance.
     * @param blackboard The blackboard to read the table and the membership from.
     * @param peers Sends messages to entry instances.
     * @param client The client of this entry instance.
     * @param settings The settings.
     */
    PoolLeader(
            String pool,
            InstanceIdentity self,
            Blackboard blackboard,
            PeerSender peers,
            PoolClient client,
            RoutingSettings settings) {
        this.pool = pool;
        this.blackboard = blackboard;
        this.peers = peers;
        this.settings = settings;
        term = new LeaderTerm(pool, self, client, settings);
        endpoints = new PoolEndpoints(pool);
    }

    /**
     * Handles a request for a slot.
     *
     * @param sender The entry instance that requests the slot.
     * @param request The request.
     * @param nowMillis The current time in milliseconds.
     */
    void onAdmit(InstanceIdentity sender, LeaderMessage.AdmitRequest request, long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    Optional<String> other = ensureLeader(actions);
                    if (other.isPresent()) {
                        reply(sender, request, ReplyStatus.REDIRECTED, other.get(), actions);
                    } else if (!tracker.hasLease(sender, nowMillis)) {
                        reply(sender, request, ReplyStatus.NOT_JOINED, "", actions);
                    } else {
                        enqueue(sender, request, actions);
                    }
                });
    }

    /**
     * Handles the report of an entry instance that joins.
     *
     * @param sender The entry instance.
     * @param report The report.
     * @param nowMillis The current time in milliseconds.
     * @return The reply.
     */
    LeaderMessage.LeaderReply onReport(
            InstanceIdentity sender, LeaderMessage.Report report, long nowMillis) {
        ActionQueue actions = new ActionQueue(nowMillis);
        LeaderMessage.LeaderReply reply;
        lock.lock();
        try {
            expireStale(nowMillis);
            Optional<String> other = ensureLeader(actions);
            if (other.isEmpty()) {
                tracker.join(sender, report.slots(), leaseEnd(nowMillis));
                term.onJoined(sender.name());
                grantSlots(actions);
            }
            reply =
                    new LeaderMessage.LeaderReply(
                            pool,
                            report.sentAtMillis(),
                            other.isEmpty()
                                    ? ReplyStatus.JOINED.number()
                                    : ReplyStatus.REDIRECTED.number(),
                            other.orElse(""));
        } finally {
            lock.unlock();
        }
        actions.runAll();
        return reply;
    }

    /**
     * Handles the renewal of a lease.
     *
     * @param sender The entry instance that holds the lease.
     * @param renewal The renewal.
     * @param nowMillis The current time in milliseconds.
     * @return The reply.
     */
    LeaderMessage.LeaderReply onRenewal(
            InstanceIdentity sender, LeaderMessage.Renewal renewal, long nowMillis) {
        ActionQueue actions = new ActionQueue(nowMillis);
        ReplyStatus status = ReplyStatus.NOT_JOINED;
        lock.lock();
        try {
            expireStale(nowMillis);
            if (!term.isInactive() && tracker.hasLease(sender, nowMillis)) {
                status = ReplyStatus.JOINED;
                tracker.renew(sender, renewal.lastNumber(), renewal.numbers(), leaseEnd(nowMillis));
                grantSlots(actions);
            }
        } finally {
            lock.unlock();
        }
        actions.runAll();
        return new LeaderMessage.LeaderReply(pool, renewal.sentAtMillis(), status.number(), "");
    }

    /**
     * Handles the release of a slot.
     *
     * @param sender The entry instance that held it.
     * @param release The release.
     * @param nowMillis The current time in milliseconds.
     */
    void onRelease(InstanceIdentity sender, LeaderMessage.Release release, long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    AdmissionTracker.Slot slot = tracker.release(sender, release.requestNumber());
                    queue.removeIf(queued -> queued.matches(sender, release.requestNumber()));
                    if (slot != null && release.endpointFailed()) {
                        endpoints.onFailed(slot.endpoint(), nowMillis);
                    }
                    if (slot != null && release.cachedTokens() > 0) {
                        chatPlacements.recordTurn(
                                release.chatHash(),
                                slot.endpoint(),
                                release.cachedTokens(),
                                nowMillis);
                    }
                    grantSlots(actions);
                });
    }

    /**
     * Returns replicas of the slots whose holders are gone or may be gone.
     *
     * @param nowMillis The current time in milliseconds.
     * @return One replica for each holder.
     */
    List<LeaderMessage.GrantReplica> orphanReplicas(long nowMillis) {
        lock.lock();
        try {
            return tracker.orphanReplicas(
                    pool, settings.leaseMillis() - settings.replyTimeoutMillis(), nowMillis);
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
                    term.step(blackboard.read(Topics.MEMBERSHIP), tracker, nowMillis)
                            .forEach(name -> sendFollowRequest(name, actions));
                    for (QueuedRequest queued : queue.expire(nowMillis)) {
                        reply(
                                queued.sender(),
                                queued.request(),
                                ReplyStatus.OVERLOADED,
                                "",
                                actions);
                    }
                    grantSlots(actions);
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
            expireStale(nowMillis);
            action.accept(actions);
        } finally {
            lock.unlock();
        }
        actions.runAll();
    }

    /**
     * Drops expired leases, and all state if this instance was stalled.
     *
     * @param nowMillis The current time in milliseconds.
     */
    private void expireStale(long nowMillis) {
        if (term.stepDownIfStalled(nowMillis)) {
            queue.removeIf(queued -> true);
            tracker.clear();
        }
        tracker.expireLeases(nowMillis);
    }

    /**
     * Begins to acquire leadership if there is no leader.
     *
     * @param actions Collects the actions to run after unlocking.
     * @return The leader if it is another instance, or empty if it is this one.
     */
    private Optional<String> ensureLeader(ActionQueue actions) {
        Optional<String> other = term.otherLeader(actions.nowMillis());
        if (other.isEmpty() && term.isInactive()) {
            term.beginAcquiring(blackboard.read(Topics.MEMBERSHIP), actions.nowMillis())
                    .forEach(name -> sendFollowRequest(name, actions));
        }
        return other;
    }

    /**
     * Requests that an entry instance follow this one.
     *
     * @param name The name of the entry instance.
     * @param actions Collects the actions to run after unlocking.
     */
    private void sendFollowRequest(String name, ActionQueue actions) {
        actions.add(
                () ->
                        peers.request(
                                name,
                                new LeaderMessage.FollowRequest(pool),
                                actions.nowMillis(),
                                (result, atMillis) -> onFollowResult(name, result, atMillis)));
    }

    /**
     * Handles the result of a follow request.
     *
     * @param name The name of the entry instance that was requested to follow.
     * @param result The result.
     * @param nowMillis The current time in milliseconds.
     */
    private void onFollowResult(String name, PeerSender.CallResult result, long nowMillis) {
        runLocked(
                nowMillis,
                actions -> {
                    if (result.unreachable()) {
                        term.onUnreachable(name);
                    } else if (result.reply() instanceof LeaderMessage.FollowReply reply) {
                        onFollowReply(name, reply, actions);
                    }
                    grantSlots(actions);
                });
    }

    /**
     * Handles the reply to a follow request.
     *
     * @param name The name of the entry instance that replied.
     * @param reply The reply.
     * @param actions Collects the actions to run after unlocking.
     */
    private void onFollowReply(String name, LeaderMessage.FollowReply reply, ActionQueue actions) {
        if (term.isInactive()) {
            return;
        }
        if (!reply.joined()) {
            if (term.yieldsTo(
                    reply.leader(), blackboard.read(Topics.MEMBERSHIP), actions.nowMillis())) {
                stepDown(reply.leader(), actions);
            }
            return;
        }
        Optional<InstanceIdentity> holder =
                term.findIdentity(name, blackboard.read(Topics.MEMBERSHIP));
        if (holder.isPresent()) {
            if (!tracker.hasLease(holder.get(), actions.nowMillis())) {
                tracker.join(holder.get(), reply.report().slots(), leaseEnd(actions.nowMillis()));
            }
            term.onJoined(name);
        }
        for (LeaderMessage.GrantReplica replica : reply.replicas()) {
            tracker.addOrphans(
                    replica.holderIdentity(),
                    replica.slots(),
                    actions.nowMillis() + replica.remainingMillis());
        }
    }

    /**
     * Steps down and redirects all lease holders to another leader.
     *
     * @param other The other leader.
     * @param actions Collects the actions to run after unlocking.
     */
    private void stepDown(String other, ActionQueue actions) {
        term.stepDown();
        LeaderMessage redirect =
                new LeaderMessage.LeaderReply(pool, 0, ReplyStatus.REDIRECTED.number(), other);
        for (InstanceIdentity holder : tracker.leaseHolders()) {
            actions.add(() -> peers.send(holder.name(), redirect, actions.nowMillis()));
        }
        queue.removeIf(queued -> true);
        tracker.clear();
    }

    /**
     * Adds a request to its workspace's queue, or refuses it if the queue is full.
     *
     * @param sender The entry instance that requests the slot.
     * @param request The request.
     * @param actions Collects the actions to run after unlocking.
     */
    private void enqueue(
            InstanceIdentity sender, LeaderMessage.AdmitRequest request, ActionQueue actions) {
        int maximum =
                blackboard
                        .read(Topics.TABLE)
                        .workspace(request.workspace())
                        .map(WorkspaceRow::queueRequests)
                        .orElse(DEFAULT_QUEUE_REQUESTS);
        QueuedRequest queued = new QueuedRequest(sender, request, actions.nowMillis());
        long deadlineMillis = actions.nowMillis() + request.maximumWaitMillis();
        endpoints.recordReportedCapacity(request.poolCapacity(), actions.nowMillis());
        if (queue.offer(
                request.workspace(), queued, deadlineMillis, maximum, actions.nowMillis())) {
            grantSlots(actions);
        } else {
            reply(queued.sender(), queued.request(), ReplyStatus.CEILING_REACHED, "", actions);
        }
    }

    /**
     * Grants slots to queued requests while the load bound allows it.
     *
     * @param actions Collects the actions to run after unlocking.
     */
    private void grantSlots(ActionQueue actions) {
        if (!term.mayGrant(actions.nowMillis()) || queue.size() == 0) {
            return;
        }
        endpoints.update(blackboard.read(Topics.MEMBERSHIP), actions.nowMillis());
        Table table = blackboard.read(Topics.TABLE);
        Optional<PoolRow> row = table.pool(pool);
        boolean granting = row.isPresent();
        while (granting) {
            granting =
                    queue.poll(
                                    workspace -> workspaceLimits(table, workspace),
                                    queued -> tryGrant(queued, row.get(), actions),
                                    actions.nowMillis())
                            .isPresent();
        }
    }

    /**
     * Returns the share, load and ceiling of a workspace.
     *
     * @param table The current table.
     * @param workspace The workspace.
     * @return The share, load and ceiling.
     */
    private FairQueue.Allocation workspaceLimits(Table table, String workspace) {
        int inFlight = tracker.inFlightRequests(workspace);
        return table.workspace(workspace)
                .map(row -> new FairQueue.Allocation(row.share(), inFlight, row.ceilingRequests()))
                .orElse(new FairQueue.Allocation(0, inFlight, Integer.MAX_VALUE));
    }

    /**
     * Grants a slot to a request if the load bound allows one.
     *
     * @param queued The request.
     * @param row The pool's row in the table.
     * @param actions Collects the actions to run after unlocking.
     * @return {@code true} if a slot was granted.
     */
    private boolean tryGrant(QueuedRequest queued, PoolRow row, ActionQueue actions) {
        LeaderMessage.AdmitRequest request = queued.request();
        Optional<Candidate> chosen =
                EndpointSelector.choose(
                        request,
                        chatPlacements.cacheHints(request, actions.nowMillis()),
                        endpoints,
                        tracker,
                        EndpointSelector.loadBound(row),
                        queued.enqueuedAtMillis(),
                        actions.nowMillis());
        if (chosen.isEmpty()) {
            return false;
        }
        Endpoint endpoint = chosen.get().endpoint();
        tracker.recordGrantTime(actions.nowMillis());
        tracker.grant(
                queued.sender(),
                request.requestNumber(),
                new AdmissionTracker.Slot(endpoint.identity(), request.workspace()));
        LeaderMessage.AdmitReply reply =
                new LeaderMessage.AdmitReply(
                        pool,
                        request.requestNumber(),
                        ReplyStatus.GRANTED.number(),
                        endpoint.name(),
                        endpoint.identity().incarnation(),
                        chosen.get().expectedCachedTokens());
        actions.add(() -> peers.send(queued.sender().name(), reply, actions.nowMillis()));
        return true;
    }

    /**
     * Replies to a request without granting a slot.
     *
     * @param sender The entry instance that requests the slot.
     * @param request The request.
     * @param status The status.
     * @param leader The leader to redirect to, or an empty string.
     * @param actions Collects the actions to run after unlocking.
     */
    private void reply(
            InstanceIdentity sender,
            LeaderMessage.AdmitRequest request,
            ReplyStatus status,
            String leader,
            ActionQueue actions) {
        LeaderMessage.AdmitReply reply =
                new LeaderMessage.AdmitReply(
                        pool, request.requestNumber(), status.number(), leader, 0, 0);
        actions.add(() -> peers.send(sender.name(), reply, actions.nowMillis()));
    }

    /**
     * Returns the leader's end of a lease, which is later than the holder's.
     *
     * @param nowMillis The current time in milliseconds.
     * @return The end in milliseconds.
     */
    private long leaseEnd(long nowMillis) {
        return nowMillis + settings.leaseMillis() + settings.leaseMillis() / LEASE_MARGIN_DIVISOR;
    }
}
