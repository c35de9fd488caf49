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

/** Runs one history in virtual time: entry instances, endpoints, callers and faults. */
public final class HistorySimulation {

    /** How long a graceful shutdown may take, in milliseconds. */
    static final long DRAIN_MILLIS = 30_000;

    /** How long a graceful shutdown in haste may take, in milliseconds. */
    static final long SHORT_DRAIN_MILLIS = 100;

    /** The workspace of all callers. */
    static final String WORKSPACE = "sicilia";

    /** The availability zones. */
    private static final List<String> ZONES = List.of("palermo", "catania", "messina");

    /** The entry instances of each availability zone. */
    private static final int INSTANCES_PER_ZONE = 2;

    /** One in so many histories has tickets that expire soon. */
    private static final int SHORT_TICKET_ONE_IN = 4;

    /** The time between steps of an entry instance in milliseconds. */
    private static final long STEP_INTERVAL_MILLIS = 50;

    /** The longest lag of the view of the fleet in milliseconds. */
    private static final int MAXIMUM_VIEW_LAG_MILLIS = 2_000;

    /** How long a dead instance stays on the platform's list, in milliseconds. */
    private static final long LIST_LAG_MILLIS = 3_000;

    /** The time by which each caller is done, in milliseconds. */
    private static final long END_MILLIS = 240_000;

    /** The time between looks whether all callers are done, in milliseconds. */
    private static final long COMPLETION_POLL_MILLIS = 1_000;

    /** The most versions of the table that are offered at once. */
    private static final int MAXIMUM_NEW_TABLES = 6;

    /** The longest pause between check and send in milliseconds. */
    private static final int MAXIMUM_SEND_PAUSE_MILLIS = 6_000;

    /** One in so many sends is held up by a pause while instances pause. */
    private static final int SEND_PAUSE_ONE_IN = 4;

    /** The random choices. */
    private final SplittableRandom random;

    /** The faulty part. */
    private final Mutation mutation;

    /** Whether tickets expire within the history. */
    private final boolean shortLivedTickets;

    /** The virtual time. */
    private final VirtualScheduler scheduler = new VirtualScheduler(0);

    /** The network between entry instances. */
    private final VirtualNetwork network = new VirtualNetwork(scheduler, 1, message -> 0);

    /** The endpoints. */
    private final SimulatedEndpoints endpoints;

    /** The entry instances that run, by name. */
    private final Map<String, SimulatedInstance> instances = new TreeMap<>();

    /** What the platform lists and serves. */
    private final SimulatedPlatform platform = new SimulatedPlatform();

    /** The broken promises. */
    private final List<Violation> violations = new ArrayList<>();

    /** The callers. */
    private final List<Operation> operations = new ArrayList<>();

    /** The callers' requests that wait for an answer. */
    private final List<Invocation<?>> invocations = new ArrayList<>();

    /** The zone that is cut off, or an empty text. */
    private String isolatedZone = "";

    /** The newest version of the table. */
    private long tableVersion = 1;

    /** The time until which sends may be held up, in milliseconds. */
    private long sendPauseUntilMillis;

    /**
     * Creates a new world.
     *
     * @param seed The seed of all random choices.
     * @param mutation The faulty part.
     */
    private HistorySimulation(long seed, Mutation mutation) {
        random = new SplittableRandom(seed);
        this.mutation = mutation;
        shortLivedTickets = random.nextInt(SHORT_TICKET_ONE_IN) == 0;
        endpoints = new SimulatedEndpoints(this, ZONES);
    }

    /**
     * Runs one history.
     *
     * @param seed The seed of all random choices.
     * @param faults The faults.
     * @param mutation The faulty part.
     * @return What the history showed.
     */
    public static HistoryReport run(long seed, List<Fault> faults, Mutation mutation) {
        HistorySimulation world = new HistorySimulation(seed, mutation);
        world.start();
        CallerWorkload.schedule(world, faults);
        faults.forEach(
                fault ->
                        world.scheduler.scheduleAt(
                                fault.atMillis(), () -> fault.kind().inject(world, fault)));
        long untilMillis = Fault.SPAN_MILLIS;
        while (untilMillis < END_MILLIS && !world.isDone(untilMillis)) {
            untilMillis += COMPLETION_POLL_MILLIS;
            world.scheduler.runUntil(untilMillis);
        }
        return world.report();
    }

    /** Starts the entry instances. */
    private void start() {
        for (int index = 0; index < ZONES.size() * INSTANCES_PER_ZONE; index++) {
            start(instanceName(index), 1);
        }
        publishMembership();
        instances
                .values()
                .forEach(node -> node.receiveView(platform.view(endpoints.listedEndpoints())));
    }

    /**
     * Adds a caller.
     *
     * @param operation What the caller wants.
     * @param atMillis The time at which the caller begins, in milliseconds.
     */
    void addOperation(Operation operation, long atMillis) {
        operations.add(operation);
        scheduler.scheduleAt(atMillis, operation::begin);
    }

    /**
     * Creates a world whose entry instances run.
     *
     * @param seed The seed of all random choices.
     * @return The world.
     */
    static HistorySimulation createStarted(long seed) {
        HistorySimulation world = new HistorySimulation(seed, Mutation.NONE);
        world.start();
        return world;
    }

    /**
     * Starts an entry instance.
     *
     * @param name The name.
     * @param incarnation The incarnation.
     */
    private void start(String name, long incarnation) {
        InstanceIdentity identity =
                new InstanceIdentity(name, zoneOf(name), mutation.incarnation(incarnation));
        SimulatedInstance node = new SimulatedInstance(this, network, identity);
        long floor =
                instances.values().stream()
                        .mapToLong(peer -> peer.table().version())
                        .max()
                        .orElse(tableVersion);
        node.offerTable(SimulatedPlatform.table(floor));
        instances.put(name, node);
        platform.listInstance(identity);
        node.receiveView(platform.view(endpoints.listedEndpoints()));
        scheduler.scheduleRepeating(
                scheduler.nowMillis() + STEP_INTERVAL_MILLIS,
                STEP_INTERVAL_MILLIS,
                () -> {
                    if (!node.isDead()) {
                        node.run(node::step);
                    }
                });
    }

    /**
     * Kills an entry instance and starts it again at the same address.
     *
     * @param name The name.
     * @param downMillis How long the instance is down, in milliseconds.
     */
    void kill(String name, long downMillis) {
        SimulatedInstance node = instances.remove(name);
        if (node == null) {
            return;
        }
        long incarnation = node.identity().incarnation();
        node.markDead();
        network.kill(name);
        List.copyOf(invocations).forEach(invocation -> invocation.breakConnection(node));
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
     * Pauses an entry instance.
     *
     * @param name The name.
     * @param durationMillis How long the pause lasts, in milliseconds.
     */
    void pause(String name, long durationMillis) {
        sendPauseUntilMillis =
                Math.max(sendPauseUntilMillis, scheduler.nowMillis() + durationMillis);
        network.pause(name);
        scheduler.scheduleAfter(durationMillis, () -> network.resume(name));
    }

    /**
     * Pauses an entry instance between its last check and its send, now and then.
     *
     * @param node The entry instance.
     */
    void maybePauseBeforeSend(SimulatedInstance node) {
        if (scheduler.nowMillis() < sendPauseUntilMillis
                && random.nextInt(SEND_PAUSE_ONE_IN) == 0) {
            pause(node.identity().name(), random.nextInt(MAXIMUM_SEND_PAUSE_MILLIS));
        }
    }

    /**
     * Shuts an entry instance down gracefully and starts it again.
     *
     * @param name The name.
     * @param withinMillis How long the shutdown may take, in milliseconds.
     */
    void drain(String name, long withinMillis) {
        SimulatedInstance node = instances.get(name);
        if (node != null && !node.isDraining()) {
            platform.markLeaving(name);
            publishMembership();
            new GracefulShutdown(this, node, withinMillis).begin();
        }
    }

    /**
     * Returns the number of callers' requests that are in flight at an instance.
     *
     * @param node The instance.
     * @return The number of callers' requests that are in flight at an instance.
     */
    long inFlightAt(SimulatedInstance node) {
        return invocations.stream().filter(invocation -> invocation.isInFlightAt(node)).count();
    }

    /**
     * Cuts an availability zone off.
     *
     * @param target Chooses the zone.
     * @param durationMillis For how long, in milliseconds.
     */
    void isolateZone(int target, long durationMillis) {
        network.healPartitions();
        isolatedZone = ZONES.get(target % ZONES.size());
        String cut = isolatedZone;
        ZONES.stream().filter(zone -> !zone.equals(cut)).forEach(zone -> network.partition(cut, zone));
        scheduler.scheduleAfter(
                durationMillis,
                () -> {
                    network.healPartitions();
                    isolatedZone = "";
                });
    }

    /** Offers the next versions of the table in any order, and old ones again. */
    void offerTables() {
        long first = Math.max(1, tableVersion - 2);
        tableVersion += 1 + random.nextInt(MAXIMUM_NEW_TABLES);
        for (long version = first; version <= tableVersion; version++) {
            Table table = SimulatedPlatform.table(version);
            for (SimulatedInstance node : instances.values()) {
                scheduler.scheduleAfter(
                        random.nextInt(MAXIMUM_VIEW_LAG_MILLIS),
                        () -> node.run(() -> node.offerTable(table)));
            }
        }
    }

    /** Tells all entry instances, each with a lag of its own, what the platform lists now. */
    void publishMembership() {
        MembershipView view = platform.view(endpoints.listedEndpoints());
        for (SimulatedInstance node : instances.values()) {
            scheduler.scheduleAfter(
                    1 + random.nextInt(MAXIMUM_VIEW_LAG_MILLIS),
                    () -> node.run(() -> node.receiveView(view)));
        }
    }

    /**
     * Sends a caller's request to an entry instance.
     *
     * @param invocation The request.
     */
    void invoke(Invocation<?> invocation) {
        invocations.add(invocation);
        invocation.send(this);
    }

    /**
     * Forgets a caller's request that was answered.
     *
     * @param invocation The request.
     */
    void removeInvocation(Invocation<?> invocation) {
        invocations.remove(invocation);
    }

    /**
     * Returns an entry instance that runs.
     *
     * @param name The name.
     * @return The entry instance, or {@code null} if none runs under the name.
     */
    @Nullable SimulatedInstance instance(String name) {
        return instances.get(name);
    }

    /**
     * Returns the name of an entry instance.
     *
     * @param number Chooses the entry instance.
     * @return The name.
     */
    String instanceName(int number) {
        int index = number % (ZONES.size() * INSTANCES_PER_ZONE);
        return ZONES.get(index % ZONES.size()) + "-" + index / ZONES.size();
    }

    /**
     * Returns the name of an entry instance at random.
     *
     * @return The name.
     */
    String randomInstanceName() {
        return instanceName(random.nextInt(ZONES.size() * INSTANCES_PER_ZONE));
    }

    /**
     * Returns the availability zone of an entry instance.
     *
     * @param name The name.
     * @return The availability zone.
     */
    private static String zoneOf(String name) {
        return name.substring(0, name.indexOf('-'));
    }

    /**
     * Returns {@code true} if two zones are cut off from each other.
     *
     * @param zone The one zone.
     * @param other The other zone.
     * @return {@code true} if two zones are cut off from each other.
     */
    boolean isPartitioned(String zone, String other) {
        return !zone.equals(other) && (zone.equals(isolatedZone) || other.equals(isolatedZone));
    }

    /**
     * Notes a broken promise.
     *
     * @param promise The promise.
     * @param detail What was seen.
     */
    void recordViolation(Violation.Guarantee promise, String detail) {
        violations.add(new Violation(promise, "at " + scheduler.nowMillis() + " ms: " + detail));
    }

    /**
     * Returns {@code true} if a part is replaced by a faulty one.
     *
     * @param candidate The replacement.
     * @return {@code true} if a part is replaced by a faulty one.
     */
    boolean hasMutation(Mutation candidate) {
        return mutation == candidate;
    }

    /**
     * Returns {@code true} if tickets expire within the history.
     *
     * @return {@code true} if tickets expire within the history.
     */
    boolean hasShortLivedTickets() {
        return shortLivedTickets;
    }

    /**
     * Returns the faulty part.
     *
     * @return The faulty part.
     */
    Mutation mutation() {
        return mutation;
    }

    /**
     * Returns the virtual time.
     *
     * @return The virtual time.
     */
    VirtualScheduler scheduler() {
        return scheduler;
    }

    /**
     * Returns the random choices.
     *
     * @return The random choices.
     */
    SplittableRandom random() {
        return random;
    }

    /**
     * Returns the endpoints.
     *
     * @return The endpoints.
     */
    SimulatedEndpoints endpoints() {
        return endpoints;
    }

    /**
     * Returns {@code true} if all callers are done.
     *
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if all callers are done.
     */
    private boolean isDone(long nowMillis) {
        return nowMillis > Fault.SPAN_MILLIS + DRAIN_MILLIS / 2
                && operations.stream().allMatch(Operation::isDone);
    }

    /**
     * Checks what is known at the end.
     *
     * @return What the history showed.
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
