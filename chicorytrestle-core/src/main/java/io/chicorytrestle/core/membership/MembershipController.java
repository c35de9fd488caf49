package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerNetwork;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Merges the platform's list, local observations and notices from other instances into the view of
 * the fleet. This class is thread-safe; {@link #step} is called every few tens of milliseconds.
 */
public final class MembershipController implements Controller, MembershipObserver {

    /** The number of neighbours, and of remote readers, to which a change is sent at once. */
    private static final int FANOUT = 3;

    /** The period at which facts are compared with another instance, in milliseconds. */
    private static final long COMPARE_PERIOD_MILLIS = 1_000;

    /** The period at which a reader of the zone reads the list, in milliseconds. */
    private static final long READER_PERIOD_MILLIS = 1_000;

    /** The period at which any other instance reads the list, in milliseconds. */
    private static final long OTHER_PERIOD_MILLIS = 120_000;

    /**
     * The time after which the next read may start although the last one has not completed, in
     * milliseconds.
     */
    private static final long READ_TIMEOUT_MILLIS = 5_000;

    /**
     * The period at which the view is rebuilt if no fact changed, since states also change with
     * time, in milliseconds.
     */
    private static final long VIEW_PERIOD_MILLIS = 500;

    /**
     * The gap between steps above which the list is read and facts are compared at once, since the
     * process was probably paused, in milliseconds.
     */
    private static final long PAUSE_THRESHOLD_MILLIS = 2_000;

    /** This entry instance with the address of its peer channel. */
    private final MemberDescription own;

    /** Receives the view. */
    private final Blackboard blackboard;

    /** Holds the records of all members. */
    private final MemberDirectory directory = new MemberDirectory();

    /** Selects the instances to exchange messages with. */
    private final ZonePeers.Cache peersCache;

    /** Exchanges facts with other instances. */
    private final MembershipGossip gossip;

    /** Reads the platform's list. */
    private final InstanceListSource source;

    /** Records changes of the view in the audit trail. */
    private final MembershipAuditor auditor;

    /** Samples instances; guarded by the lock. */
    private final RandomGenerator random;

    /** The last list that was read but not yet merged, or {@code null}. */
    private final AtomicReference<List<MemberFact>> unmergedList = new AtomicReference<>();

    /** The members whose facts are to be sent; guarded by itself. */
    private final Set<MemberKey> unsentKeys = new LinkedHashSet<>();

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The read in flight, or the last one, which is complete. */
    private CompletableFuture<?> pendingRead = CompletableFuture.completedFuture(null);

    /** The time of the last step in milliseconds. */
    private long lastStepMillis;

    /** The time of the next read in milliseconds. */
    private long nextReadMillis;

    /** The time at which the last read began in milliseconds. */
    private long lastReadMillis;

    /** The time of the next comparison in milliseconds. */
    private long nextCompareMillis;

    /** The time at which the view is rebuilt even if no fact changed, in milliseconds. */
    private long nextViewMillis;

    /**
     * Creates a new controller.
     *
     * @param own This entry instance with the address of its peer channel.
     * @param blackboard Receives the view.
     * @param network Sends messages to other instances.
     * @param source Reads the platform's list.
     * @param auditTrail Records changes of the view.
     * @param random Samples instances.
     */
    public MembershipController(
            MemberDescription own,
            Blackboard blackboard,
            PeerNetwork network,
            InstanceListSource source,
            AuditTrail auditTrail,
            RandomGenerator random) {
        this.own = own;
        this.blackboard = blackboard;
        this.source = source;
        this.random = random;
        this.peersCache = new ZonePeers.Cache(blackboard, own.toInstanceIdentity());
        this.auditor = new MembershipAuditor(blackboard, auditTrail);
        this.gossip = new MembershipGossip(directory, network, this::enqueueIfSignificant);
        directory.merge(MemberFact.of(own, false), 0);
    }

    /**
     * Registers the handlers of the membership messages.
     *
     * @param registry The registry to add the handlers to.
     */
    public void register(PeerHandlerRegistry registry) {
        gossip.register(registry);
    }

    /**
     * Marks this entry instance as leaving, and enqueues that fact for the other instances.
     *
     * @param nowMillis The present time in milliseconds.
     */
    public void leave(long nowMillis) {
        enqueueIfSignificant(directory.merge(MemberFact.of(own, true), nowMillis), nowMillis);
    }

    @Override
    public void step(long nowMillis) {
        lock.lock();
        try {
            if (nowMillis > lastStepMillis + PAUSE_THRESHOLD_MILLIS) {
                nextReadMillis = nowMillis;
                nextCompareMillis = nowMillis;
            }
            lastStepMillis = nowMillis;
            mergeReadList(nowMillis);
            List<MemberFact> changed = drainUnsentFacts();
            publishView(!changed.isEmpty(), nowMillis);
            ZonePeers peers = peersCache.current();
            readListIfDue(peers, nowMillis);
            sendFacts(changed, peers);
            compareIfDue(peers, nowMillis);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void endpointSucceeded(EndpointIdentity endpoint, long nowMillis) {
        updateRun(endpoint, record -> record.withSuccess(nowMillis), nowMillis);
    }

    @Override
    public void endpointFailed(EndpointIdentity endpoint, long nowMillis) {
        updateRun(
                endpoint,
                record -> record.merge(record.fact().withFailure(nowMillis), nowMillis),
                nowMillis);
    }

    @Override
    public void endpointLeaving(EndpointIdentity endpoint, long nowMillis) {
        updateRun(
                endpoint,
                record -> record.merge(record.fact().withLeaving(), nowMillis),
                nowMillis);
    }

    @Override
    public void endpointRestarted(EndpointIdentity endpoint, long nowMillis) {
        MemberKey key = new MemberKey(false, endpoint.name());
        Optional<MemberFact> renewed =
                directory
                        .fact(key)
                        .map(fact -> fact.description().withIncarnation(endpoint.incarnation()))
                        .map(description -> MemberFact.of(description, false));
        renewed.ifPresent(
                fact -> enqueueIfSignificant(directory.merge(fact, nowMillis), nowMillis));
    }

    @Override
    public void instanceFailed(String instance, long nowMillis) {
        MemberDirectory.Change change =
                directory.update(
                        new MemberKey(true, instance),
                        record -> record.merge(record.fact().withFailure(nowMillis), nowMillis));
        enqueueIfSignificant(change, nowMillis);
    }

    @Override
    public void instanceSucceeded(String instance, long nowMillis) {
        directory.update(new MemberKey(true, instance), record -> record.withSuccess(nowMillis));
    }

    /**
     * Updates the record of an endpoint's run.
     *
     * @param endpoint The endpoint's run; the record of another run of the same endpoint stays.
     * @param operator Computes the new record.
     * @param nowMillis The present time in milliseconds.
     */
    private void updateRun(
            EndpointIdentity endpoint, UnaryOperator<MemberRecord> operator, long nowMillis) {
        MemberDirectory.Change change =
                directory.update(
                        new MemberKey(false, endpoint.name()),
                        record ->
                                record.fact().description().incarnation() == endpoint.incarnation()
                                        ? operator.apply(record)
                                        : record);
        enqueueIfSignificant(change, nowMillis);
    }

    /**
     * Enqueues the fact of a changed member for sending if the change is significant to others.
     *
     * @param change The change.
     * @param nowMillis The present time in milliseconds.
     */
    private void enqueueIfSignificant(MemberDirectory.Change change, long nowMillis) {
        if (change.isSignificant(nowMillis)) {
            synchronized (unsentKeys) {
                change.after().ifPresent(record -> unsentKeys.add(record.fact().key()));
            }
        }
    }

    /**
     * Merges the list if one was read since the last step, and expires records.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void mergeReadList(long nowMillis) {
        List<MemberFact> list = unmergedList.getAndSet(null);
        if (list != null) {
            List<MemberFact> merged = directory.mergeList(list, nowMillis);
            directory.expire(nowMillis);
            synchronized (unsentKeys) {
                merged.forEach(fact -> unsentKeys.add(fact.key()));
            }
        }
    }

    /**
     * Starts a read of the list if one is due.
     *
     * @param peers The instances of this zone and the readers of others.
     * @param nowMillis The present time in milliseconds.
     */
    private void readListIfDue(ZonePeers peers, long nowMillis) {
        long periodMillis = peers.isReader() ? READER_PERIOD_MILLIS : OTHER_PERIOD_MILLIS;
        nextReadMillis = Math.min(nextReadMillis, lastReadMillis + periodMillis);
        boolean isBusy = !pendingRead.isDone() && nowMillis < lastReadMillis + READ_TIMEOUT_MILLIS;
        if (nowMillis < nextReadMillis || isBusy) {
            return;
        }
        lastReadMillis = nowMillis;
        nextReadMillis = nowMillis + periodMillis;
        CompletableFuture<List<MemberFact>> read = source.read();
        pendingRead = read;
        read.whenComplete(
                (list, failure) -> {
                    if (list != null) {
                        unmergedList.set(List.copyOf(list));
                    }
                });
    }

    /**
     * Removes all members from those with unsent facts.
     *
     * @return The present facts of these members.
     */
    private List<MemberFact> drainUnsentFacts() {
        List<MemberKey> keys;
        synchronized (unsentKeys) {
            keys = List.copyOf(unsentKeys);
            unsentKeys.clear();
        }
        return keys.stream().map(directory::fact).flatMap(Optional::stream).toList();
    }

    /**
     * Sends facts to a sample of instances.
     *
     * @param facts The facts, possibly none.
     * @param peers The instances of this zone and the readers of others.
     */
    private void sendFacts(List<MemberFact> facts, ZonePeers peers) {
        if (facts.isEmpty()) {
            return;
        }
        List<String> instances =
                new ArrayList<>(ZonePeers.sample(peers.neighbours(), FANOUT, random));
        if (peers.isReader()) {
            instances.addAll(ZonePeers.sample(peers.remoteReaders(), FANOUT, random));
        }
        gossip.sendFacts(instances, facts, false, MessagePriority.PROMPT);
    }

    /**
     * Compares facts with another instance if a comparison is due: those of this zone and of a
     * random zone, so that facts whose notices were lost are repaired.
     *
     * @param peers The instances of this zone and the readers of others.
     * @param nowMillis The present time in milliseconds.
     */
    private void compareIfDue(ZonePeers peers, long nowMillis) {
        if (nowMillis < nextCompareMillis || peers.zones().isEmpty()) {
            return;
        }
        nextCompareMillis = nowMillis + COMPARE_PERIOD_MILLIS;
        List<String> partners = ZonePeers.sample(peers.neighbours(), 1, random);
        if (peers.isReader() && random.nextBoolean()) {
            partners = ZonePeers.sample(peers.remoteReaders(), 1, random);
        }
        String otherZone = ZonePeers.sample(peers.zones(), 1, random).get(0);
        for (String partner : partners) {
            gossip.sendDigest(partner, own.zone());
            if (!otherZone.equals(own.zone())) {
                gossip.sendDigest(partner, otherZone);
            }
        }
    }

    /**
     * Rebuilds the view if that is due, and publishes it if it changed.
     *
     * @param isDue {@code true} to rebuild the view before its period has passed.
     * @param nowMillis The present time in milliseconds.
     */
    private void publishView(boolean isDue, long nowMillis) {
        if (!isDue && nowMillis < nextViewMillis) {
            return;
        }
        nextViewMillis = nowMillis + VIEW_PERIOD_MILLIS;
        MembershipView present = blackboard.read(Topics.MEMBERSHIP);
        MembershipView view =
                ViewBuilder.INSTANCE.build(
                        present.revision() + 1, own.name(), directory.records(), nowMillis);
        boolean isSame =
                view.instances().equals(present.instances())
                        && view.endpoints().equals(present.endpoints());
        if (!isSame) {
            blackboard.write(Topics.MEMBERSHIP, view);
            auditor.recordChanges(present, view, nowMillis);
        }
    }
}
