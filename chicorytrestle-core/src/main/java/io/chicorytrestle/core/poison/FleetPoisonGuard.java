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
 * Marks the requests that an endpoint was executing when it crashed as suspects, executes each
 * suspect on an endpoint without other suspects, and refuses a request after its second crash.
 * Findings are sent to every instance that can be reached.
 */
public final class FleetPoisonGuard implements PoisonGuard, Controller {

    /** The identity of this entry instance, with its incarnation. */
    private final InstanceIdentity self;

    /** Provides the membership and the table. */
    private final Blackboard blackboard;

    /** Sends messages to the other entry instances. */
    private final PeerNetwork network;

    /** Records suspicions and quarantines. */
    private final AuditTrail audit;

    /** The durations and limits. */
    private final PoisonSettings settings;

    /** The suspicions against requests. */
    private final SuspectTable suspects;

    /** The leases that this instance grants. */
    private final LeaseTable leases = new LeaseTable();

    /** The suspects that wait for their leases, by the holder of the leases. */
    private final ShardedMap<String, WaitingSuspect> waitingSuspects = ShardedMap.make();

    /** The number in the name of the last lease holder, which makes the names unique. */
    private final AtomicLong lastHolderNumber = new AtomicLong();

    /**
     * Creates a new guard.
     *
     * @param self The identity of this entry instance, with its incarnation.
     * @param blackboard Provides the membership and the table.
     * @param network Sends messages to the other entry instances.
     * @param audit Records suspicions and quarantines.
     * @param settings The durations and limits.
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
     * Registers the handlers of messages from other instances.
     *
     * @param registry The registry to add the handlers to.
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
                    (outcome, endMillis) ->
                            recordOutcome(fingerprint, endpoint, outcome, endMillis));
        }
        String holder =
                self.name() + "/" + self.incarnation() + "/" + lastHolderNumber.incrementAndGet();
        WaitingSuspect suspect =
                new WaitingSuspect(
                        holder, fingerprint, endpoint, deadlineMillis, new CompletableFuture<>());
        waitingSuspects.compute(holder, present -> suspect);
        requestLeases(suspect, nowMillis);
        return suspect.execution;
    }

    @Override
    public void step(long nowMillis) {
        suspects.removeExpired(nowMillis);
        leases.removeExpired(nowMillis);
        List<WaitingSuspect> present = new ArrayList<>();
        waitingSuspects.forEach((holder, suspect) -> present.add(suspect));
        present.forEach(suspect -> requestLeases(suspect, nowMillis));
    }

    /**
     * Requests the leases of a suspect: first the one for the suspect, then the one for the
     * endpoint. Does nothing while an earlier request is in flight.
     *
     * @param suspect The suspect.
     * @param nowMillis The current time in milliseconds.
     */
    private void requestLeases(WaitingSuspect suspect, long nowMillis) {
        if (suspect.execution.isDone()) {
            stopWaiting(suspect);
            return;
        }
        try {
            check(suspect.fingerprint, nowMillis);
        } catch (RequestFailureException failure) {
            stopWaiting(suspect);
            suspect.execution.completeExceptionally(failure);
            return;
        }
        if (nowMillis >= suspect.deadlineMillis) {
            stopWaiting(suspect);
            suspect.execution.completeExceptionally(
                    refusal(
                            "it waits to run without other suspects",
                            settings.leaseRequestTimeoutMillis()));
            return;
        }
        if (!suspect.requestInFlight.compareAndSet(0, 1)) {
            return;
        }
        acquireLease(suspect.suspectLeaseKey(), suspect.holder, nowMillis)
                .thenCompose(
                        granted ->
                                granted
                                        ? acquireLease(
                                                suspect.endpointLeaseKey(),
                                                suspect.holder,
                                                nowMillis)
                                        : CompletableFuture.completedFuture(false))
                .whenComplete(
                        (granted, thrown) -> {
                            suspect.requestInFlight.set(0);
                            if (Boolean.TRUE.equals(granted)) {
                                startExecution(suspect);
                            }
                        });
    }

    /**
     * Starts the execution of a suspect that holds both leases.
     *
     * @param suspect The suspect.
     */
    private void startExecution(WaitingSuspect suspect) {
        waitingSuspects.compute(suspect.holder, present -> null);
        Execution newExecution =
                (outcome, endMillis) -> {
                    releaseLeases(suspect);
                    recordSuspectOutcome(suspect, outcome, endMillis);
                };
        if (!suspect.execution.complete(newExecution)) {
            releaseLeases(suspect);
        }
    }

    /**
     * Removes a suspect that no longer waits and releases its leases.
     *
     * @param suspect The suspect.
     */
    private void stopWaiting(WaitingSuspect suspect) {
        if (waitingSuspects.get(suspect.holder) != null) {
            waitingSuspects.compute(suspect.holder, present -> null);
            releaseLeases(suspect);
        }
    }

    /**
     * Releases both leases of a suspect.
     *
     * @param suspect The suspect.
     */
    private void releaseLeases(WaitingSuspect suspect) {
        for (String key : List.of(suspect.suspectLeaseKey(), suspect.endpointLeaseKey())) {
            PoisonMessages.LeaseRequest request =
                    new PoisonMessages.LeaseRequest(key, suspect.holder, 0);
            String grantor = leaseGrantor(key);
            if (grantor.equals(self.name())) {
                leases.update(request, Long.MIN_VALUE);
            } else {
                network.send(grantor, request, MessagePriority.REQUEST);
            }
        }
    }

    /**
     * Requests a lease from the instance that grants it. If that instance does not reply, this
     * instance grants the lease itself.
     *
     * @param key The key of the lease.
     * @param holder The holder of the lease.
     * @param nowMillis The current time in milliseconds.
     * @return Whether the lease was granted.
     */
    private CompletableFuture<Boolean> acquireLease(String key, String holder, long nowMillis) {
        PoisonMessages.LeaseRequest request =
                new PoisonMessages.LeaseRequest(key, holder, settings.leaseMillis());
        String grantor = leaseGrantor(key);
        if (grantor.equals(self.name())) {
            return CompletableFuture.completedFuture(leases.update(request, nowMillis));
        }
        return network.request(grantor, request, settings.leaseRequestTimeoutMillis())
                .handle(
                        (reply, thrown) ->
                                reply instanceof PoisonMessages.LeaseReply leaseReply
                                        ? leaseReply.granted()
                                        : leases.update(request, nowMillis));
    }

    /**
     * Returns the instance that grants the leases of a key.
     *
     * @param key The key of the lease.
     * @return The name of the instance with the highest hash for the key.
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
     * Returns the other live instances.
     *
     * @return The names of the instances.
     */
    private Stream<String> peers() {
        return blackboard.read(Topics.MEMBERSHIP).liveInstances().stream()
                .map(InstanceMember::identity)
                .map(InstanceIdentity::name)
                .filter(name -> !name.equals(self.name()));
    }

    /**
     * Records the outcome of an execution of a request that was not a suspect when it started.
     *
     * @param fingerprint The request's fingerprint.
     * @param endpoint The endpoint that executed the request.
     * @param outcome How the execution ended.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordOutcome(
            Fingerprint fingerprint, Endpoint endpoint, ExecutionOutcome outcome, long nowMillis) {
        if (outcome == ExecutionOutcome.CRASHED) {
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
     * Records the outcome of an execution of a suspect.
     *
     * @param suspect The suspect.
     * @param outcome How the execution ended.
     * @param nowMillis The current time in milliseconds.
     */
    private void recordSuspectOutcome(
            WaitingSuspect suspect, ExecutionOutcome outcome, long nowMillis) {
        switch (outcome) {
            case COMPLETED ->
                    publish(
                            suspect.fingerprint,
                            newSuspicion(Suspicion.Finding.CLEARED, suspect.endpoint, nowMillis),
                            nowMillis);
            case CRASHED ->
                    publish(
                            suspect.fingerprint,
                            newSuspicion(
                                    Suspicion.Finding.CONFIRMED,
                                    suspect.endpoint,
                                    nowMillis + settings.quarantineMillis()),
                            nowMillis);
            case ABANDONED -> {
                /* neither confirms nor clears the suspicion */
            }
        }
    }

    /**
     * Creates a suspicion.
     *
     * @param finding The kind of finding.
     * @param endpoint The endpoint that executed the request.
     * @param untilMillis The time until which the finding holds, in milliseconds.
     * @return The suspicion.
     */
    private static Suspicion newSuspicion(
            Suspicion.Finding finding, Endpoint endpoint, long untilMillis) {
        return new Suspicion(
                finding, endpoint.name(), endpoint.identity().incarnation(), untilMillis);
    }

    /**
     * Records a finding, sends it to the other instances and adds it to the audit trail, unless it
     * changes nothing.
     *
     * @param fingerprint The request's fingerprint.
     * @param suspicion The finding and the crash that it stems from.
     * @param nowMillis The current time in milliseconds.
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
     * Creates the failure of a request that is refused.
     *
     * @param why The reason, which completes the message to the caller.
     * @param retryAfterMillis The advised delay before a retry in milliseconds, raised to at least
     *     one.
     * @return The failure, whose verdict is that the request was not executed.
     */
    private static RequestFailureException refusal(String why, long retryAfterMillis) {
        return RequestFailureException.notRun(
                        FailureCode.QUARANTINED, "Cannot run request now: " + why)
                .withRetryAfterMillis(Math.max(1, retryAfterMillis));
    }

    /** A suspect that waits for the leases of its execution. */
    private static final class WaitingSuspect {

        /** The holder of the leases, unique for each execution. */
        private final String holder;

        /** The fingerprint of the request. */
        private final Fingerprint fingerprint;

        /** The endpoint on which the suspect is to be executed. */
        private final Endpoint endpoint;

        /** The time at which the wait ends, in milliseconds. */
        private final long deadlineMillis;

        /** Completed when the suspect may be executed, exceptionally if it is refused. */
        private final CompletableFuture<Execution> execution;

        /** One while a request for leases is in flight, otherwise zero. */
        private final AtomicLong requestInFlight = new AtomicLong();

        /**
         * Creates a new entry.
         *
         * @param holder The holder of the leases.
         * @param fingerprint The request's fingerprint.
         * @param endpoint The endpoint on which the suspect is to be executed.
         * @param deadlineMillis The time at which the wait ends, in milliseconds.
         * @param execution Completed when the suspect may be executed, exceptionally if it is
         *     refused.
         */
        private WaitingSuspect(
                String holder,
                Fingerprint fingerprint,
                Endpoint endpoint,
                long deadlineMillis,
                CompletableFuture<Execution> execution) {
            this.holder = holder;
            this.fingerprint = fingerprint;
            this.endpoint = endpoint;
            this.deadlineMillis = deadlineMillis;
            this.execution = execution;
        }

        /**
         * Returns the key of the lease by which a suspect is executed only once at a time.
         *
         * @return The key, which contains the hash of the request.
         */
        private String suspectLeaseKey() {
            return "suspect " + fingerprint.hash();
        }

        /**
         * Returns the key of the lease by which an endpoint executes only one suspect at a time.
         *
         * @return The key, which contains the name of the endpoint.
         */
        private String endpointLeaseKey() {
            return "endpoint " + endpoint.name();
        }
    }
}
