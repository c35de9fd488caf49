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

/**
 * Grants the places of one pool while its entry instance is the pool's steward. Several threads may
 * call it.
 */
final class PoolLeader {

    /** The most requests that wait in a workspace without a row. */
    private static final int DEFAULT_QUEUE_REQUESTS = 64;

    /** The part of a lease by which the steward counts longer than the holder uses. */
    private static final long LEASE_MARGIN_DIVISOR = 4;

    /** Guards the state. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The pool's name. */
    private final String pool;

    /** The blackboard to read the table and the membership from. */
    private final Blackboard blackboard;

    /** Carries messages. */
    private final PeerSender peers;

    /** The settings. */
    private final RoutingSettings settings;

    /** Decides whether this steward is in office. */
    private final LeaderTerm term;

    /** The places that are held. */
    private final AdmissionTracker tracker = new AdmissionTracker();

    /** The endpoints of the pool. */
    private final PoolEndpoints endpoints;

    /** The requests that wait for a place. */
    private final FairQueue<QueuedRequest> queue = new FairQueue<>();

    /** Where the last turns of chats ran, by the hash of the chat. */
    private final ChatPlacementCache chatPlacements = new ChatPlacementCache();

    /**
     * Creates a new steward, which is not in office.
     *
     * @param pool The pool's name.
     * @param self The identity of this entry instance.
     * @param blackboard The blackboard to read the table and the membership from.
     * @param post Carries messages.
     * @param client The side of this entry instance that asks for places.
     * @param settings The settings.
     */
    PoolLeader(
            String pool,
            InstanceIdentity self,
            Blackboard blackboard,
            PeerSender post,
            PoolClient client,
            RoutingSettings settings) {
        this.pool = pool;
        this.blackboard = blackboard;
        this.peers = post;
        this.settings = settings;
        term = new LeaderTerm(pool, self, client, settings);
        endpoints = new PoolEndpoints(pool);
    }

    /**
     * Handles a request for a place.
     *
     * @param sender The entry instance that asks.
     * @param request The request.
     * @param nowMillis The present time in milliseconds.
     */
    void onAdmit(InstanceIdentity sender, LeaderMessage.AdmitRequest request, long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    Optional<String> other = ensureLeader(outbox);
                    if (other.isPresent()) {
                        reply(sender, request, ReplyStatus.REDIRECTED, other.get(), outbox);
                    } else if (!tracker.hasLease(sender, nowMillis)) {
                        reply(sender, request, ReplyStatus.NOT_JOINED, "", outbox);
                    } else {
                        enqueue(sender, request, outbox);
                    }
                });
    }

    /**
     * Handles the report of an entry instance that joins.
     *
     * @param sender The entry instance.
     * @param report The report.
     * @param nowMillis The present time in milliseconds.
     * @return The answer.
     */
    LeaderMessage.LeaderReply onReport(
            InstanceIdentity sender, LeaderMessage.Report report, long nowMillis) {
        ActionQueue outbox = new ActionQueue(nowMillis);
        LeaderMessage.LeaderReply reply;
        lock.lock();
        try {
            expireStale(nowMillis);
            Optional<String> other = ensureLeader(outbox);
            if (other.isEmpty()) {
                tracker.join(sender, report.slots(), leaseEnd(nowMillis));
                term.onJoined(sender.name());
                grantSlots(outbox);
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
        outbox.runAll();
        return reply;
    }

    /**
     * Handles the renewal of a lease.
     *
     * @param sender The entry instance that holds the lease.
     * @param renewal The renewal.
     * @param nowMillis The present time in milliseconds.
     * @return The answer.
     */
    LeaderMessage.LeaderReply onRenewal(
            InstanceIdentity sender, LeaderMessage.Renewal renewal, long nowMillis) {
        ActionQueue outbox = new ActionQueue(nowMillis);
        ReplyStatus answer = ReplyStatus.NOT_JOINED;
        lock.lock();
        try {
            expireStale(nowMillis);
            if (!term.isInactive() && tracker.hasLease(sender, nowMillis)) {
                answer = ReplyStatus.JOINED;
                tracker.renew(sender, renewal.lastNumber(), renewal.numbers(), leaseEnd(nowMillis));
                grantSlots(outbox);
            }
        } finally {
            lock.unlock();
        }
        outbox.runAll();
        return new LeaderMessage.LeaderReply(pool, renewal.sentAtMillis(), answer.number(), "");
    }

    /**
     * Handles a place that is handed back.
     *
     * @param sender The entry instance that held it.
     * @param release The release.
     * @param nowMillis The present time in milliseconds.
     */
    void onRelease(InstanceIdentity sender, LeaderMessage.Release release, long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    AdmissionTracker.Slot place = tracker.release(sender, release.requestNumber());
                    queue.removeIf(waiting -> waiting.matches(sender, release.requestNumber()));
                    if (place != null && release.endpointFailed()) {
                        endpoints.onFailed(place.endpoint(), nowMillis);
                    }
                    if (place != null && release.cachedTokens() > 0) {
                        chatPlacements.recordTurn(
                                release.chatHash(),
                                place.endpoint(),
                                release.cachedTokens(),
                                nowMillis);
                    }
                    grantSlots(outbox);
                });
    }

    /**
     * Returns the places whose holders are gone.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The places by holder.
     */
    List<LeaderMessage.GrantReplica> orphanReplicas(long nowMillis) {
        lock.lock();
        try {
            return tracker.orphans(
                    pool, settings.leaseMillis() - settings.replyTimeoutMillis(), nowMillis);
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
                    term.step(blackboard.read(Topics.MEMBERSHIP), tracker, nowMillis)
                            .forEach(name -> sendFollowRequest(name, outbox));
                    for (QueuedRequest waiting : queue.expire(nowMillis)) {
                        reply(
                                waiting.sender(),
                                waiting.request(),
                                ReplyStatus.OVERLOADED,
                                "",
                                outbox);
                    }
                    grantSlots(outbox);
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
            expireStale(nowMillis);
            action.accept(outbox);
        } finally {
            lock.unlock();
        }
        outbox.runAll();
    }

    /**
     * Drops what has expired, and everything if this instance stood still.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void expireStale(long nowMillis) {
        if (term.stepDownIfStalled(nowMillis)) {
            queue.removeIf(waiting -> true);
            tracker.clear();
        }
        tracker.expireLeases(nowMillis);
    }

    /**
     * Makes sure that somebody is in office.
     *
     * @param outbox Takes what is to happen afterwards.
     * @return The steward in office if it is another one, or empty if it is this one.
     */
    private Optional<String> ensureLeader(ActionQueue outbox) {
        Optional<String> other = term.otherLeader(outbox.nowMillis());
        if (other.isEmpty() && term.isInactive()) {
            term.beginAcquiring(blackboard.read(Topics.MEMBERSHIP), outbox.nowMillis())
                    .forEach(name -> sendFollowRequest(name, outbox));
        }
        return other;
    }

    /**
     * Asks an entry instance to join.
     *
     * @param name The name of the entry instance.
     * @param outbox Takes what is to happen afterwards.
     */
    private void sendFollowRequest(String name, ActionQueue outbox) {
        outbox.add(
                () ->
                        peers.request(
                                name,
                                new LeaderMessage.FollowRequest(pool),
                                outbox.nowMillis(),
                                (result, atMillis) -> onFollowResult(name, result, atMillis)));
    }

    /**
     * Handles the result of an inquiry.
     *
     * @param name The name of the entry instance that was asked.
     * @param result The result.
     * @param nowMillis The present time in milliseconds.
     */
    private void onFollowResult(String name, PeerSender.CallResult result, long nowMillis) {
        runLocked(
                nowMillis,
                outbox -> {
                    if (result.unreachable()) {
                        term.onUnreachable(name);
                    } else if (result.reply() instanceof LeaderMessage.FollowReply reply) {
                        onFollowReply(name, reply, outbox);
                    }
                    grantSlots(outbox);
                });
    }

    /**
     * Handles the answer of an inquiry.
     *
     * @param name The name of the entry instance that answered.
     * @param reply The answer.
     * @param outbox Takes what is to happen afterwards.
     */
    private void onFollowReply(String name, LeaderMessage.FollowReply reply, ActionQueue outbox) {
        if (term.isInactive()) {
            return;
        }
        if (!reply.joined()) {
            if (term.yieldsTo(
                    reply.leader(), blackboard.read(Topics.MEMBERSHIP), outbox.nowMillis())) {
                stepDown(reply.leader(), outbox);
            }
            return;
        }
        Optional<InstanceIdentity> holder =
                term.findIdentity(name, blackboard.read(Topics.MEMBERSHIP));
        if (holder.isPresent()) {
            if (!tracker.hasLease(holder.get(), outbox.nowMillis())) {
                tracker.join(holder.get(), reply.report().slots(), leaseEnd(outbox.nowMillis()));
            }
            term.onJoined(name);
        }
        for (LeaderMessage.GrantReplica shadow : reply.replicas()) {
            tracker.addOrphans(
                    shadow.holderIdentity(),
                    shadow.slots(),
                    outbox.nowMillis() + shadow.remainingMillis());
        }
    }

    /**
     * Leaves the office to another steward.
     *
     * @param other The other steward.
     * @param outbox Takes what is to happen afterwards.
     */
    private void stepDown(String other, ActionQueue outbox) {
        term.stepDown();
        LeaderMessage redirect =
                new LeaderMessage.LeaderReply(pool, 0, ReplyStatus.REDIRECTED.number(), other);
        for (InstanceIdentity holder : tracker.leaseHolders()) {
            outbox.add(() -> peers.send(holder.name(), redirect, outbox.nowMillis()));
        }
        queue.removeIf(waiting -> true);
        tracker.clear();
    }

    /**
     * Puts a request into its workspace's queue.
     *
     * @param sender The entry instance that asks.
     * @param request The request.
     * @param outbox Takes what is to happen afterwards.
     */
    private void enqueue(
            InstanceIdentity sender, LeaderMessage.AdmitRequest request, ActionQueue outbox) {
        int maximum =
                blackboard
                        .read(Topics.TABLE)
                        .workspace(request.workspace())
                        .map(WorkspaceRow::queueRequests)
                        .orElse(DEFAULT_QUEUE_REQUESTS);
        QueuedRequest waiting = new QueuedRequest(sender, request, outbox.nowMillis());
        long deadlineMillis = outbox.nowMillis() + request.maximumWaitMillis();
        endpoints.recordReportedCapacity(request.poolCapacity(), outbox.nowMillis());
        if (queue.offer(
                request.workspace(), waiting, deadlineMillis, maximum, outbox.nowMillis())) {
            grantSlots(outbox);
        } else {
            reply(waiting.sender(), waiting.request(), ReplyStatus.CEILING_REACHED, "", outbox);
        }
    }

    /**
     * Grants places while there are some, if this steward is in office.
     *
     * @param outbox Takes what is to happen afterwards.
     */
    private void grantSlots(ActionQueue outbox) {
        if (!term.mayGrant(outbox.nowMillis()) || queue.size() == 0) {
            return;
        }
        endpoints.update(blackboard.read(Topics.MEMBERSHIP), outbox.nowMillis());
        Table table = blackboard.read(Topics.TABLE);
        Optional<PoolRow> row = table.pool(pool);
        boolean served = row.isPresent();
        while (served) {
            served =
                    queue.poll(
                                    workspace -> workspaceLimits(table, workspace),
                                    waiting -> tryGrant(waiting, row.get(), outbox),
                                    outbox.nowMillis())
                            .isPresent();
        }
    }

    /**
     * Returns what a workspace may claim.
     *
     * @param table The table in force.
     * @param workspace The workspace.
     * @return The claim.
     */
    private FairQueue.Allocation workspaceLimits(Table table, String workspace) {
        int inFlight = tracker.inFlightRequests(workspace);
        return table.workspace(workspace)
                .map(row -> new FairQueue.Allocation(row.share(), inFlight, row.ceilingRequests()))
                .orElse(new FairQueue.Allocation(0, inFlight, Integer.MAX_VALUE));
    }

    /**
     * Grants a place to a request if the bound allows one.
     *
     * @param waiting The request.
     * @param row The pool's row.
     * @param outbox Takes what is to happen afterwards.
     * @return {@code true} if a place was granted.
     */
    private boolean tryGrant(QueuedRequest waiting, PoolRow row, ActionQueue outbox) {
        LeaderMessage.AdmitRequest request = waiting.request();
        Optional<Candidate> chosen =
                EndpointSelector.choose(
                        request,
                        chatPlacements.cacheHints(request, outbox.nowMillis()),
                        endpoints,
                        tracker,
                        EndpointSelector.loadBound(row),
                        waiting.enqueuedAtMillis(),
                        outbox.nowMillis());
        if (chosen.isEmpty()) {
            return false;
        }
        Endpoint endpoint = chosen.get().endpoint();
        tracker.recordGrantTime(outbox.nowMillis());
        tracker.grant(
                waiting.sender(),
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
        outbox.add(() -> peers.send(waiting.sender().name(), reply, outbox.nowMillis()));
        return true;
    }

    /**
     * Answers a request without a place.
     *
     * @param sender The entry instance that asks.
     * @param request The request.
     * @param answer The answer.
     * @param name The steward to ask, or empty.
     * @param outbox Takes what is to happen afterwards.
     */
    private void reply(
            InstanceIdentity sender,
            LeaderMessage.AdmitRequest request,
            ReplyStatus answer,
            String name,
            ActionQueue outbox) {
        LeaderMessage.AdmitReply reply =
                new LeaderMessage.AdmitReply(
                        pool, request.requestNumber(), answer.number(), name, 0, 0);
        outbox.add(() -> peers.send(sender.name(), reply, outbox.nowMillis()));
    }

    /**
     * Returns the end of a lease as the steward counts it, which is later than the holder's own.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The end in milliseconds.
     */
    private long leaseEnd(long nowMillis) {
        return nowMillis + settings.leaseMillis() + settings.leaseMillis() / LEASE_MARGIN_DIVISOR;
    }
}
