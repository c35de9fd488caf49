package io.chicorytrestle.core.poison;

import com.google.common.hash.Hashing;
import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.ShardedMap;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.InstanceMember;
import io.chicorytrestle.core.peer.MessagePriority;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerMessage;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Suspects the requests that ran on an endpoint that crashed, runs each suspect without another
 * suspect beside it, and refuses a request after its second crash, at every instance in reach.
 */
public final class FleetPoisonGuard implements PoisonGuard, Controller {

    /** This run of this entry instance. */
    private final InstanceIdentity self;

    /** Holds the view of the fleet. */
    private final Blackboard blackboard;

    /** Reaches the other entry instances. */
    private final PeerNetwork network;

    /** Takes note of suspicion and quarantine. */
    private final AuditTrail audit;

    /** The settings. */
    private final PoisonSettings settings;

    /** What is held against requests. */
    private final SuspectTable suspects;

    /** The turns that this instance grants. */
    private final LeaseTable leases = new LeaseTable();

    /** The suspects that wait for their turn, by the holder of the turn. */
    private final ShardedMap<String, WaitingSuspect> waitingSuspects = ShardedMap.make();

    /** The number of the run that asked for a turn last. */
    private final AtomicLong lastHolderNumber = new AtomicLong();

    /**
     * Creates a new guard.
     *
     * @param self This run of this entry instance.
     * @param blackboard Holds the view of the fleet.
     * @param network Reaches the other entry instances.
     * @param audit Takes note of suspicion and quarantine.
     * @param settings The settings.
     */
    public FleetPoisonGuard(
            InstanceIdentity self,
            Blackboard blackboard,
            PeerNetwork network,
            AuditTrail audit,
            PoisonSettings settings) {
        this.self = self;
        this.blackboard = blackboard;
        this.network = network;
        this.audit = audit;
        this.settings = settings;
        suspects = new SuspectTable(settings.maximumSuspects());
    }

    /**
     * Registers the handlers of other instances' messages.
     *
     * @param registry Takes the handlers.
     */
    public void register(PeerHandlerRegistry registry) {
        registry.register(
                PoisonMessages.SuspicionNotice.class,
                (sender, message, nowMillis) -> {
                    suspects.record(message.fingerprint(), message.suspicion());
                    return null;
                });
        registry.register(
                PoisonMessages.LeaseRequest.class,
                (sender, message, nowMillis) ->
                        CompletableFuture.completedFuture(
                                new PoisonMessages.LeaseReply(leases.update(message, nowMillis))));
    }

    @Override
    public void check(Fingerprint fingerprint, long nowMillis) throws RequestFailureException {
        Suspicion suspicion = suspects.get(fingerprint, nowMillis);
        if (suspicion != null && suspicion.finding() == Suspicion.Finding.CONFIRMED) {
            throw refusal("it crashed two endpoints", suspicion.untilMillis() - nowMillis);
        }
    }

    @Override
    public CompletableFuture<Execution> requestExecution(
            Fingerprint fingerprint, Endpoint endpoint, long deadlineMillis, long nowMillis) {
        try {
            check(fingerprint, nowMillis);
        } catch (RequestFailureException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        if (suspects.get(fingerprint, nowMillis) == null) {
            return CompletableFuture.completedFuture(
                    (ending, endMillis) -> recordOutcome(fingerprint, endpoint, ending, endMillis));
        }
        String holder =
                self.name() + "/" + self.incarnation() + "/" + lastHolderNumber.incrementAndGet();
        WaitingSuspect entry =
                new WaitingSuspect(
                        holder, fingerprint, endpoint, deadlineMillis, new CompletableFuture<>());
        waitingSuspects.compute(holder, present -> entry);
        requestLeases(entry, nowMillis);
        return entry.execution;
    }

    @Override
    public void step(long nowMillis) {
        suspects.removeExpired(nowMillis);
        leases.removeExpired(nowMillis);
        List<WaitingSuspect> present = new ArrayList<>();
        waitingSuspects.forEach((holder, entry) -> present.add(entry));
        present.forEach(entry -> requestLeases(entry, nowMillis));
    }

    /**
     * Asks for a suspect's turn: first for the suspect, then for the endpoint.
     *
     * @param entry The suspect.
     * @param nowMillis The present time in milliseconds.
     */
    private void requestLeases(WaitingSuspect entry, long nowMillis) {
        if (entry.execution.isDone()) {
            stopWaiting(entry);
            return;
        }
        try {
            check(entry.fingerprint, nowMillis);
        } catch (RequestFailureException failure) {
            stopWaiting(entry);
            entry.execution.completeExceptionally(failure);
            return;
        }
        if (nowMillis >= entry.deadlineMillis) {
            stopWaiting(entry);
            entry.execution.completeExceptionally(
                    refusal(
                            "it waits to run without other suspects",
                            settings.leaseRequestTimeoutMillis()));
            return;
        }
        if (!entry.requestInFlight.compareAndSet(0, 1)) {
            return;
        }
        acquireLease(entry.suspectLeaseKey(), entry.holder, nowMillis)
                .thenCompose(
                        granted ->
                                granted
                                        ? acquireLease(
                                                entry.endpointLeaseKey(), entry.holder, nowMillis)
                                        : CompletableFuture.completedFuture(false))
                .whenComplete(
                        (granted, thrown) -> {
                            entry.requestInFlight.set(0);
                            if (Boolean.TRUE.equals(granted)) {
                                startExecution(entry);
                            }
                        });
    }

    /**
     * Begins the run of a suspect that has its turn.
     *
     * @param entry The suspect.
     */
    private void startExecution(WaitingSuspect entry) {
        waitingSuspects.compute(entry.holder, present -> null);
        Execution run =
                (ending, endMillis) -> {
                    releaseLeases(entry);
                    recordSuspectOutcome(entry, ending, endMillis);
                };
        if (!entry.execution.complete(run)) {
            releaseLeases(entry);
        }
    }

    /**
     * Forgets a suspect that waits no more.
     *
     * @param entry The suspect.
     */
    private void stopWaiting(WaitingSuspect entry) {
        if (waitingSuspects.get(entry.holder) != null) {
            waitingSuspects.compute(entry.holder, present -> null);
            releaseLeases(entry);
        }
    }

    /**
     * Gives a suspect's turn back.
     *
     * @param entry The suspect.
     */
    private void releaseLeases(WaitingSuspect entry) {
        for (String key : List.of(entry.suspectLeaseKey(), entry.endpointLeaseKey())) {
            PoisonMessages.LeaseRequest turn =
                    new PoisonMessages.LeaseRequest(key, entry.holder, 0);
            String arbiter = leaseGrantor(key);
            if (arbiter.equals(self.name())) {
                leases.update(turn, Long.MIN_VALUE);
            } else {
                network.send(arbiter, turn, MessagePriority.REQUEST);
            }
        }
    }

    /**
     * Asks the instance that grants a key.
     *
     * @param key The key.
     * @param holder The holder.
     * @param nowMillis The present time in milliseconds.
     * @return Whether the key was granted.
     */
    private CompletableFuture<Boolean> acquireLease(String key, String holder, long nowMillis) {
        PoisonMessages.LeaseRequest turn =
                new PoisonMessages.LeaseRequest(key, holder, settings.leaseMillis());
        String arbiter = leaseGrantor(key);
        if (arbiter.equals(self.name())) {
            return CompletableFuture.completedFuture(leases.update(turn, nowMillis));
        }
        return network.request(arbiter, turn, settings.leaseRequestTimeoutMillis())
                .handle(
                        (answer, thrown) ->
                                answer instanceof PoisonMessages.LeaseReply given
                                        ? given.granted()
                                        : leases.update(turn, nowMillis));
    }

    /**
     * Returns the instance that grants a key.
     *
     * @param key The key.
     * @return The name of the instance with the highest rank for the key.
     */
    private String leaseGrantor(String key) {
        return Stream.concat(Stream.of(self.name()), peers())
                .max(
                        Comparator.comparingLong(
                                name ->
                                        Hashing.murmur3_128()
                                                .hashString(
                                                        key + " " + name, StandardCharsets.UTF_8)
                                                .asLong()))
                .orElse(self.name());
    }

    /**
     * Returns the other instances that serve.
     *
     * @return The names.
     */
    private Stream<String> peers() {
        return blackboard.read(Topics.MEMBERSHIP).liveInstances().stream()
                .map(InstanceMember::identity)
                .map(InstanceIdentity::name)
                .filter(name -> !name.equals(self.name()));
    }

    /**
     * Ends a run of a request that was not suspected when it began.
     *
     * @param fingerprint The request's fingerprint.
     * @param endpoint The endpoint.
     * @param ending How the run ended.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordOutcome(
            Fingerprint fingerprint, Endpoint endpoint, ExecutionOutcome ending, long nowMillis) {
        if (ending == ExecutionOutcome.CRASHED) {
            publish(
                    fingerprint,
                    newSuspicion(
                            Suspicion.Finding.SUSPECT,
                            endpoint,
                            nowMillis + settings.suspicionMillis()),
                    nowMillis);
        }
    }

    /**
     * Ends a run of a suspect.
     *
     * @param entry The suspect.
     * @param ending How the run ended.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordSuspectOutcome(
            WaitingSuspect entry, ExecutionOutcome ending, long nowMillis) {
        switch (ending) {
            case COMPLETED ->
                    publish(
                            entry.fingerprint,
                            newSuspicion(Suspicion.Finding.CLEARED, entry.endpoint, nowMillis),
                            nowMillis);
            case CRASHED ->
                    publish(
                            entry.fingerprint,
                            newSuspicion(
                                    Suspicion.Finding.CONFIRMED,
                                    entry.endpoint,
                                    nowMillis + settings.quarantineMillis()),
                            nowMillis);
            case ABANDONED -> {
                /* nothing was learned */
            }
        }
    }

    /**
     * Creates a finding.
     *
     * @param finding The finding.
     * @param endpoint The endpoint.
     * @param untilMillis The time until which the finding holds, in milliseconds.
     * @return The finding.
     */
    private static Suspicion newSuspicion(
            Suspicion.Finding finding, Endpoint endpoint, long untilMillis) {
        return new Suspicion(
                finding, endpoint.name(), endpoint.identity().incarnation(), untilMillis);
    }

    /**
     * Notes a finding and tells the other instances.
     *
     * @param fingerprint The request's fingerprint.
     * @param suspicion The finding.
     * @param nowMillis The present time in milliseconds.
     */
    private void publish(Fingerprint fingerprint, Suspicion suspicion, long nowMillis) {
        if (!suspects.record(fingerprint, suspicion)) {
            return;
        }
        PeerMessage notice = PoisonMessages.SuspicionNotice.of(fingerprint, suspicion);
        peers().forEach(peer -> network.send(peer, notice, MessagePriority.PROMPT));
        audit.record(
                new AuditEvent(
                        AuditEvent.Kind.QUARANTINE,
                        fingerprint.workspace() + "/" + fingerprint.hash(),
                        "crash of " + suspicion.endpoint(),
                        blackboard.read(Topics.TABLE).version(),
                        nowMillis,
                        Map.of("finding", suspicion.finding().name())));
    }

    /**
     * Creates the refusal of a request.
     *
     * @param why Why the request is refused.
     * @param retryAfterMillis The advised delay in milliseconds.
     * @return The refusal.
     */
    private static RequestFailureException refusal(String why, long retryAfterMillis) {
        return RequestFailureException.notRun(
                        FailureCode.QUARANTINED, "Cannot run request now: " + why)
                .withRetryAfterMillis(Math.max(1, retryAfterMillis));
    }

    /** A suspect that waits for its turn. */
    private static final class WaitingSuspect {

        /** The holder of the turn. */
        private final String holder;

        /** The request's fingerprint. */
        private final Fingerprint fingerprint;

        /** The endpoint. */
        private final Endpoint endpoint;

        /** The time to give up at, in milliseconds. */
        private final long deadlineMillis;

        /** Completed when the suspect may run. */
        private final CompletableFuture<Execution> execution;

        /** Whether a question is under way: one if so. */
        private final AtomicLong requestInFlight = new AtomicLong();

        /**
         * Creates a new entry.
         *
         * @param holder The holder of the turn.
         * @param fingerprint The request's fingerprint.
         * @param endpoint The endpoint.
         * @param deadlineMillis The time to give up at, in milliseconds.
         * @param run Completed when the suspect may run.
         */
        private WaitingSuspect(
                String holder,
                Fingerprint fingerprint,
                Endpoint endpoint,
                long deadlineMillis,
                CompletableFuture<Execution> run) {
            this.holder = holder;
            this.fingerprint = fingerprint;
            this.endpoint = endpoint;
            this.deadlineMillis = deadlineMillis;
            this.execution = run;
        }

        /**
         * Returns the key of the suspect.
         *
         * @return The key of the suspect.
         */
        private String suspectLeaseKey() {
            return "suspect " + fingerprint.hash();
        }

        /**
         * Returns the key of the endpoint.
         *
         * @return The key of the endpoint.
         */
        private String endpointLeaseKey() {
            return "endpoint " + endpoint.name();
        }
    }
}
