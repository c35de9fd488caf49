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
 * Merges the platform's list, own observations and peers' notices into the view of the fleet.
 * Several threads may call it; a caller steps it every few tens of milliseconds.
 */
public final class MembershipController implements Controller, MembershipObserver {

    /** The instances that are told of a change at once. */
    private static final int FANOUT = 3;

    /** The milliseconds between comparisons with another instance. */
    private static final long COMPARE_PERIOD_MILLIS = 1_000;

    /** The milliseconds between reads of the list by a reader of the zone. */
    private static final long READER_PERIOD_MILLIS = 1_000;

    /** The milliseconds between reads of the list by any other instance. */
    private static final long OTHER_PERIOD_MILLIS = 120_000;

    /** The most milliseconds that a read may take before the next one starts. */
    private static final long READ_TIMEOUT_MILLIS = 5_000;

    /** The milliseconds between views if nothing was heard. */
    private static final long VIEW_PERIOD_MILLIS = 500;

    /** The milliseconds without a step from which on a pause is assumed. */
    private static final long PAUSE_THRESHOLD_MILLIS = 2_000;

    /** This entry instance as others reach it. */
    private final MemberDescription own;

    /** Receives the view. */
    private final Blackboard blackboard;

    /** Keeps the facts. */
    private final MemberDirectory directory = new MemberDirectory();

    /** Chooses the instances to exchange messages with. */
    private final ZonePeers.Cache peersCache;

    /** Tells facts to others. */
    private final MembershipGossip gossip;

    /** Reads the platform's list. */
    private final InstanceListSource source;

    /** Records changes of the view. */
    private final MembershipAuditor auditor;

    /** Chooses the instances to tell; guarded by the lock. */
    private final RandomGenerator random;

    /** The list that was read and is not merged yet, or {@code null}. */
    private final AtomicReference<List<MemberFact>> unmergedList = new AtomicReference<>();

    /** The members whose facts are to be told; guarded by itself. */
    private final Set<MemberKey> unsentKeys = new LinkedHashSet<>();

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The read in flight. */
    private CompletableFuture<?> pendingRead = CompletableFuture.completedFuture(null);

    /** The time of the last step in milliseconds. */
    private long lastStepMillis;

    /** The time of the next read in milliseconds. */
    private long nextReadMillis;

    /** The time at which the last read began in milliseconds. */
    private long lastReadMillis;

    /** The time of the next comparison in milliseconds. */
    private long nextCompareMillis;

    /** The time of the next view in milliseconds. */
    private long nextViewMillis;

    /**
     * Creates a new controller.
     *
     * @param own This entry instance as others reach it.
     * @param blackboard Receives the view.
     * @param network Sends messages to other instances.
     * @param source Reads the platform's list.
     * @param auditTrail Receives the changes of the view.
     * @param random Chooses the instances to tell.
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
     * Registers the handlers of this controller's messages.
     *
     * @param registry Takes the handlers.
     */
    public void register(PeerHandlerRegistry registry) {
        gossip.register(registry);
    }

    /**
     * Marks this entry instance as leaving, which is told to others.
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
            List<MemberFact> news = drainUnsentFacts();
            publishView(!news.isEmpty(), nowMillis);
            ZonePeers peers = peersCache.current();
            readListIfDue(peers, nowMillis);
            sendFacts(news, peers);
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
     * Changes the record of an endpoint's run.
     *
     * @param endpoint The endpoint's run; another run of the same endpoint is not changed.
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
     * Prepares to tell a change if it is news.
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
     * Merges a list that was read since the last step.
     *
     * @param nowMillis The present time in milliseconds.
     */
    private void mergeReadList(long nowMillis) {
        List<MemberFact> list = unmergedList.getAndSet(null);
        if (list != null) {
            List<MemberFact> changed = directory.mergeList(list, nowMillis);
            directory.expire(nowMillis);
            synchronized (unsentKeys) {
                changed.forEach(fact -> unsentKeys.add(fact.key()));
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
     * Takes what is to be told.
     *
     * @return The facts.
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
     * Tells facts to some instances.
     *
     * @param facts The facts.
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
     * Compares facts with another instance if that is due.
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
        String other = ZonePeers.sample(peers.zones(), 1, random).get(0);
        for (String partner : partners) {
            gossip.sendDigest(partner, own.zone());
            if (!other.equals(own.zone())) {
                gossip.sendDigest(partner, other);
            }
        }
    }

    /**
     * Publishes the view if it changed.
     *
     * @param isDue {@code true} if something was learned.
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
