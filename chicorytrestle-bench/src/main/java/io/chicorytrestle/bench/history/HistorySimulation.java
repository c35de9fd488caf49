package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Simulates one history in virtual time: entry instances, endpoints, callers and faults. It runs in
 * a single thread, and the same arguments give the same history.
 */
public final class HistorySimulation {

    /** The deadline in milliseconds with which a shutdown must not interrupt any request. */
    static final long DRAIN_MILLIS = 30_000;

    /** The deadline of a shutdown that may interrupt requests, in milliseconds. */
    static final long SHORT_DRAIN_MILLIS = 100;

    /** The name of the workspace of all callers. */
    static final String WORKSPACE = "sicilia";

    /** The names of the availability zones. */
    private static final List<String> ZONES = List.of("palermo", "catania", "messina");

    /** The number of entry instances in each availability zone. */
    private static final int INSTANCES_PER_ZONE = 2;

    /** One in this many histories uses tickets that expire within the history. */
    private static final int SHORT_TICKET_ONE_IN = 4;

    /** The interval between steps of an entry instance in milliseconds. */
    private static final long STEP_INTERVAL_MILLIS = 50;

    /** The bound of the lag of fleet views and tables at an entry instance, in milliseconds. */
    private static final int MAXIMUM_VIEW_LAG_MILLIS = 2_000;

    /** How long the platform still lists a dead instance, in milliseconds. */
    private static final long LIST_LAG_MILLIS = 3_000;

    /** The virtual time at which the history ends at the latest, in milliseconds. */
    private static final long END_MILLIS = 240_000;

    /** The interval between checks whether all callers are done, in milliseconds. */
    private static final long COMPLETION_POLL_MILLIS = 1_000;

    /** The maximum number of new table versions that one fault publishes. */
    private static final int MAXIMUM_NEW_TABLES = 6;

    /** The bound of a pause between the last check and the send, in milliseconds. */
    private static final int MAXIMUM_SEND_PAUSE_MILLIS = 6_000;

    /** One in this many sends is delayed by a pause while that fault is active. */
    private static final int SEND_PAUSE_ONE_IN = 4;

    /** The source of all random choices of the simulation. */
    private final SplittableRandom random;

    /** The faulty component, or {@link Mutation#NONE}. */
    private final Mutation mutation;

    /** Whether tickets of this history are short-lived. */
    private final boolean shortLivedTickets;

    /** The scheduler that advances the virtual time. */
    private final VirtualScheduler scheduler = new VirtualScheduler(0);

    /** The network between entry instances. */
    private final VirtualNetwork network = new VirtualNetwork(scheduler, 1, message -> 0);

    /** The engines and services. */
    private final SimulatedEndpoints endpoints;

    /** The running entry instances by name. */
    private final Map<String, SimulatedInstance> instances = new TreeMap<>();

    /** The platform's list of instances and its tables. */
    private final SimulatedPlatform platform = new SimulatedPlatform();

    /** The violations recorded so far. */
    private final List<Violation> violations = new ArrayList<>();

    /** The operations of all callers, checked at the end. */
    private final List<Operation> operations = new ArrayList<>();

    /** The callers' requests that have not ended yet. */
    private final List<Invocation<?>> invocations = new ArrayList<>();

    /** The zone that a partition isolates, or an empty string. */
    private String isolatedZone = "";

    /** The newest published version of the table. */
    private long tableVersion = 1;

    /** The virtual time until which sends may be delayed by a pause, in milliseconds. */
    private long sendPauseUntilMillis;

    /**
     * Creates a simulation without entry instances.
     *
     * @param seed The seed of all random choices.
     * @param mutation The faulty component, or {@link Mutation#NONE}.
     */
    private HistorySimulation(long seed, Mutation mutation) {
        random = new SplittableRandom(seed);
        this.mutation = mutation;
        shortLivedTickets = random.nextInt(SHORT_TICKET_ONE_IN) == 0;
        endpoints = new SimulatedEndpoints(this, ZONES);
    }

    /**
     * Runs one history to its end and checks it.
     *
     * @param seed The seed of all random choices.
     * @param faults The faults to inject, in any order; may be empty.
     * @param mutation The faulty component, or {@link Mutation#NONE}.
     * @return The result of the history.
     */
    public static HistoryReport run(long seed, List<Fault> faults, Mutation mutation) {
        HistorySimulation simulation = new HistorySimulation(seed, mutation);
        simulation.start();
        CallerWorkload.schedule(simulation, faults);
        faults.forEach(
                fault ->
                        simulation.scheduler.scheduleAt(
                                fault.atMillis(), () -> fault.kind().inject(simulation, fault)));
        long untilMillis = Fault.SPAN_MILLIS;
        while (untilMillis < END_MILLIS && !simulation.isDone(untilMillis)) {
            untilMillis += COMPLETION_POLL_MILLIS;
            simulation.scheduler.runUntil(untilMillis);
        }
        return simulation.report();
    }

    /** Starts all entry instances with a complete view of the fleet. */
    private void start() {
        for (int index = 0; index < ZONES.size() * INSTANCES_PER_ZONE; index++) {
            start(instanceName(index), 1);
        }
        publishMembership();
        instances
                .values()
                .forEach(
                        instance ->
                                instance.receiveView(platform.view(endpoints.listedEndpoints())));
    }

    /**
     * Adds an operation, which is checked at the end, and schedules its start.
     *
     * @param operation The operation of a caller.
     * @param atMillis The virtual time at which it starts, in milliseconds.
     */
    void addOperation(Operation operation, long atMillis) {
        operations.add(operation);
        scheduler.scheduleAt(atMillis, operation::begin);
    }

    /**
     * Creates a simulation without a mutation whose entry instances are running.
     *
     * @param seed The seed of all random choices.
     * @return The simulation, for the caller to add work to and run.
     */
    static HistorySimulation createStarted(long seed) {
        HistorySimulation simulation = new HistorySimulation(seed, Mutation.NONE);
        simulation.start();
        return simulation;
    }

    /**
     * Starts an incarnation of an entry instance with the newest table of its running peers.
     *
     * @param name The name of the instance.
     * @param incarnation The incarnation, which a mutation may replace.
     */
    private void start(String name, long incarnation) {
        InstanceIdentity identity =
                new InstanceIdentity(name, zoneOf(name), mutation.incarnation(incarnation));
        SimulatedInstance instance = new SimulatedInstance(this, network, identity);
        long newestPeerVersion =
                instances.values().stream()
                        .mapToLong(peer -> peer.table().version())
                        .max()
                        .orElse(tableVersion);
        instance.offerTable(SimulatedPlatform.table(newestPeerVersion));
        instances.put(name, instance);
        platform.listInstance(identity);
        instance.receiveView(platform.view(endpoints.listedEndpoints()));
        scheduler.every(
                scheduler.nowMillis() + STEP_INTERVAL_MILLIS,
                STEP_INTERVAL_MILLIS,
                () -> {
                    if (!instance.isDead()) {
                        instance.run(instance::step);
                    }
                });
    }

    /**
     * Kills an entry instance, if it is running, and schedules its restart at the same address.
     *
     * @param name The name of the instance.
     * @param downMillis The time until the restart in milliseconds.
     */
    void kill(String name, long downMillis) {
        SimulatedInstance instance = instances.remove(name);
        if (instance == null) {
            return;
        }
        long incarnation = instance.identity().incarnation();
        instance.markDead();
        network.kill(name);
        List.copyOf(invocations).forEach(invocation -> invocation.breakConnection(instance));
        scheduler.scheduleAfter(
                LIST_LAG_MILLIS,
                () -> {
                    if (!instances.containsKey(name)) {
                        platform.remove(name);
                        publishMembership();
                    }
                });
        scheduler.scheduleAfter(
                downMillis,
                () -> {
                    if (!instances.containsKey(name)) {
                        start(name, incarnation + 1);
                        publishMembership();
                    }
                });
    }

    /**
     * Pauses an entry instance. Meanwhile, any instance may also pause before a send.
     *
     * @param name The name of the instance.
     * @param durationMillis The duration of the pause in milliseconds.
     */
    void pause(String name, long durationMillis) {
        sendPauseUntilMillis =
                Math.max(sendPauseUntilMillis, scheduler.nowMillis() + durationMillis);
        network.pause(name);
        scheduler.scheduleAfter(durationMillis, () -> network.resume(name));
    }

    /**
     * Pauses an entry instance at random between its last check and its send, during that fault.
     *
     * @param instance The entry instance.
     */
    void maybePauseBeforeSend(SimulatedInstance instance) {
        if (scheduler.nowMillis() < sendPauseUntilMillis
                && random.nextInt(SEND_PAUSE_ONE_IN) == 0) {
            pause(instance.identity().name(), random.nextInt(MAXIMUM_SEND_PAUSE_MILLIS));
        }
    }

    /**
     * Shuts an entry instance down, unless it is down or draining, and restarts it.
     *
     * @param name The name of the instance.
     * @param timeoutMillis How long the instance may wait for its requests, in milliseconds.
     */
    void drain(String name, long timeoutMillis) {
        SimulatedInstance instance = instances.get(name);
        if (instance != null && !instance.isDraining()) {
            platform.markLeaving(name);
            publishMembership();
            new GracefulShutdown(this, instance, timeoutMillis).begin();
        }
    }

    /**
     * Counts the callers' requests that an entry instance has received but not answered.
     *
     * @param instance The instance.
     * @return The number of requests.
     */
    long inFlightAt(SimulatedInstance instance) {
        return invocations.stream().filter(invocation -> invocation.isInFlightAt(instance)).count();
    }

    /**
     * Isolates a zone. This heals an active partition, and the end of any partition heals all.
     *
     * @param target The index of the zone, modulo the number of zones.
     * @param durationMillis The duration of the partition in milliseconds.
     */
    void isolateZone(int target, long durationMillis) {
        network.healPartitions();
        isolatedZone = ZONES.get(target % ZONES.size());
        String isolated = isolatedZone;
        ZONES.stream()
                .filter(zone -> !zone.equals(isolated))
                .forEach(zone -> network.partition(isolated, zone));
        scheduler.scheduleAfter(
                durationMillis,
                () -> {
                    network.healPartitions();
                    isolatedZone = "";
                });
    }

    /** Offers new and up to three older versions of the table to all instances in random order. */
    void offerTables() {
        long first = Math.max(1, tableVersion - 2);
        tableVersion += 1 + random.nextInt(MAXIMUM_NEW_TABLES);
        for (long version = first; version <= tableVersion; version++) {
            Table table = SimulatedPlatform.table(version);
            for (SimulatedInstance instance : instances.values()) {
                scheduler.scheduleAfter(
                        random.nextInt(MAXIMUM_VIEW_LAG_MILLIS),
                        () -> instance.run(() -> instance.offerTable(table)));
            }
        }
    }

    /** Sends the platform's present list to all entry instances, to each with a random delay. */
    void publishMembership() {
        MembershipView view = platform.view(endpoints.listedEndpoints());
        for (SimulatedInstance instance : instances.values()) {
            scheduler.scheduleAfter(
                    1 + random.nextInt(MAXIMUM_VIEW_LAG_MILLIS),
                    () -> instance.run(() -> instance.receiveView(view)));
        }
    }

    /**
     * Tracks a caller's request and sends it to its entry instance.
     *
     * @param invocation The request.
     */
    void invoke(Invocation<?> invocation) {
        invocations.add(invocation);
        invocation.send(this);
    }

    /**
     * Stops tracking a caller's request that has ended.
     *
     * @param invocation The request.
     */
    void removeInvocation(Invocation<?> invocation) {
        invocations.remove(invocation);
    }

    /**
     * Returns a running entry instance.
     *
     * @param name The name of the instance.
     * @return The entry instance, or {@code null} if none runs under the name.
     */
    @Nullable SimulatedInstance instance(String name) {
        return instances.get(name);
    }

    /**
     * Returns the name of an entry instance, whether or not it is running.
     *
     * @param number The number of the instance, modulo the number of instances.
     * @return The name, which starts with that of its zone.
     */
    String instanceName(int number) {
        int index = number % (ZONES.size() * INSTANCES_PER_ZONE);
        return ZONES.get(index % ZONES.size()) + "-" + index / ZONES.size();
    }

    /**
     * Selects an entry instance at random, whether or not it is running.
     *
     * @return The name of the instance.
     */
    String randomInstanceName() {
        return instanceName(random.nextInt(ZONES.size() * INSTANCES_PER_ZONE));
    }

    /**
     * Returns the availability zone of an entry instance.
     *
     * @param name The name of the instance.
     * @return The name of the zone.
     */
    private static String zoneOf(String name) {
        return name.substring(0, name.indexOf('-'));
    }

    /**
     * Returns whether a partition separates two zones.
     *
     * @param zone The name of the first zone.
     * @param other The name of the second zone.
     * @return {@code true} if they cannot reach each other; never for the same zone.
     */
    boolean isPartitioned(String zone, String other) {
        return !zone.equals(other) && (zone.equals(isolatedZone) || other.equals(isolatedZone));
    }

    /**
     * Records the violation of a guarantee with the present virtual time.
     *
     * @param guarantee The violated guarantee.
     * @param detail The observation that violates it.
     */
    void recordViolation(Violation.Guarantee guarantee, String detail) {
        violations.add(new Violation(guarantee, "at " + scheduler.nowMillis() + " ms: " + detail));
    }

    /**
     * Returns whether the simulation runs with a given mutation.
     *
     * @param candidate The mutation to compare.
     * @return {@code true} if it is the mutation of this simulation.
     */
    boolean hasMutation(Mutation candidate) {
        return mutation == candidate;
    }

    /**
     * Returns whether tickets of this history are short-lived.
     *
     * @return {@code true} if tickets may expire while callers still use them.
     */
    boolean hasShortLivedTickets() {
        return shortLivedTickets;
    }

    /**
     * Returns the mutation of this simulation.
     *
     * @return The faulty component, or {@link Mutation#NONE}.
     */
    Mutation mutation() {
        return mutation;
    }

    /**
     * Returns the scheduler, which holds the virtual time and runs all events.
     *
     * @return The scheduler.
     */
    VirtualScheduler scheduler() {
        return scheduler;
    }

    /**
     * Returns the source of all random choices, shared by the whole simulation.
     *
     * @return The generator.
     */
    SplittableRandom random() {
        return random;
    }

    /**
     * Returns the simulated engines and services.
     *
     * @return The endpoints.
     */
    SimulatedEndpoints endpoints() {
        return endpoints;
    }

    /**
     * Returns whether all callers are done and the last possible fault is well past.
     *
     * @param nowMillis The present virtual time in milliseconds.
     * @return {@code true} if the simulation may end.
     */
    private boolean isDone(long nowMillis) {
        return nowMillis > Fault.SPAN_MILLIS + DRAIN_MILLIS / 2
                && operations.stream().allMatch(Operation::isDone);
    }

    /**
     * Checks the outcome of every operation against the executions that the endpoints counted.
     *
     * @return The result of the history.
     */
    private HistoryReport report() {
        operations.forEach(Operation::check);
        return new HistoryReport(
                operations.size(),
                (int) operations.stream().filter(Operation::isNonIdempotent).count(),
                (int) operations.stream().filter(Operation::isInDoubt).count(),
                violations);
    }
}
