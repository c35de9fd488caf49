package io.chicorytrestle.bench.history;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.call.CallEnvironment;
import io.chicorytrestle.core.call.CallSettings;
import io.chicorytrestle.core.call.TicketCallCoordinator;
import io.chicorytrestle.core.chat.ChatEnvironment;
import io.chicorytrestle.core.chat.ChatSettings;
import io.chicorytrestle.core.chat.CoalescingChatCoordinator;
import io.chicorytrestle.core.chat.FrameValidator;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.poison.Fingerprinter;
import io.chicorytrestle.core.poison.FleetPoisonGuard;
import io.chicorytrestle.core.poison.PoisonSettings;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.routing.FleetDispatcher;
import io.chicorytrestle.core.routing.RoutingSettings;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.TableParseResult;
import io.chicorytrestle.core.table.TableRegistry;
import io.chicorytrestle.core.ticket.HmacTicketCodec;
import io.chicorytrestle.core.ticket.LedgerLimits;
import io.chicorytrestle.core.ticket.ShardedLedger;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/** One run of an entry instance, made of the real decisions over fakes. */
final class SimulatedInstance {

    /** The key that the entry instances share. */
    private static final byte[] SECRET =
            "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8);

    /** The attempts of one request. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    /** The lifetime of tickets in most histories in milliseconds. */
    private static final long TICKET_LIFETIME_MILLIS = 90_000;

    /** The lifetime of tickets in some histories in milliseconds. */
    private static final long SHORT_TICKET_LIFETIME_MILLIS = 5_000;

    /** How long one try to reach a ticket's issuer waits, in milliseconds. */
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;

    /** The settings of chat turns. */
    private static final ChatSettings CHAT_SETTINGS = new ChatSettings(2_000, 3, 100);

    /** The world. */
    private final HistorySimulation simulation;

    /** The identity. */
    private final InstanceIdentity identity;

    /** The instance's side of the network. */
    private final VirtualNetwork.Node network;

    /** The blackboard. */
    private final Blackboard blackboard = new Blackboard();

    /** Keeps the table in force. */
    private final TableRegistry tables = new TableRegistry(blackboard, AuditTrail.NoOp.INSTANCE);

    /** The coordinator of calls. */
    private final TicketCallCoordinator calls;

    /** The coordinator of chat turns. */
    private final CoalescingChatCoordinator chats;

    /** Everything that is stepped. */
    private final Controller controller;

    /** The highest version of the table that was in force. */
    private long highestTableVersion;

    /** Whether the instance takes no new callers. */
    private boolean draining;

    /** Whether the instance died. */
    private boolean dead;

    /** The callers' requests that are in flight here. */
    private int invocations;

    /**
     * Creates and starts an instance.
     *
     * @param world The world.
     * @param network The network.
     * @param identity The identity.
     */
    SimulatedInstance(HistorySimulation world, VirtualNetwork network, InstanceIdentity identity) {
        this.simulation = world;
        this.identity = identity;
        this.network = network.start(identity);
        Mutation mutation = world.mutation();
        FleetDispatcher dispatcher =
                FleetDispatcher.make(
                        blackboard,
                        identity,
                        this.network,
                        this.network,
                        AuditTrail.NoOp.INSTANCE,
                        RoutingSettings.DEFAULT);
        RetryPolicy retries = mutation.retryPolicy(new RetryPolicy.ForVerdict(MAXIMUM_ATTEMPTS));
        calls =
                new TicketCallCoordinator(
                        new CallEnvironment(
                                identity,
                                blackboard,
                                dispatcher,
                                mutation.serviceClient(world.endpoints().serviceClient(this)),
                                mutation.peerNetwork(this.network),
                                world.scheduler()::nowMillis,
                                nowMillis -> true),
                        mutation.ticketCodec(new HmacTicketCodec(SECRET), identity.incarnation()),
                        mutation.ledger(new ShardedLedger(LedgerLimits.DEFAULT)),
                        retries,
                        new CallSettings(
                                world.hasShortLivedTickets()
                                        ? SHORT_TICKET_LIFETIME_MILLIS
                                        : TICKET_LIFETIME_MILLIS,
                                FORWARD_TIMEOUT_MILLIS,
                                Set.of()));
        calls.register(this.network);
        FleetPoisonGuard poison = createPoisonGuard();
        chats =
                new CoalescingChatCoordinator(
                        new ChatEnvironment(
                                blackboard,
                                dispatcher,
                                mutation.engineClient(world.endpoints().engineClient(this)),
                                poison,
                                new Fingerprinter(SECRET),
                                retries,
                                id -> mutation.frameCheck(new FrameValidator.ForSequence(id), id),
                                world.scheduler()::nowMillis),
                        CHAT_SETTINGS);
        controller = new Controller.Compound(List.of(dispatcher, calls, chats, poison));
        blackboard.addListener(Topics.TABLE, this::onTable);
    }

    /**
     * Creates the guard against poison.
     *
     * @return The guard.
     */
    private FleetPoisonGuard createPoisonGuard() {
        FleetPoisonGuard guard =
                new FleetPoisonGuard(
                        identity,
                        blackboard,
                        network,
                        AuditTrail.NoOp.INSTANCE,
                        PoisonSettings.DEFAULT);
        guard.register(network);
        return guard;
    }

    /**
     * Checks each table that comes into force.
     *
     * @param table The table.
     */
    private void onTable(Table table) {
        if (table.version() < highestTableVersion) {
            simulation.recordViolation(
                    Violation.Guarantee.MONOTONIC_TABLE,
                    identity.name() + ": " + table.version() + " after " + highestTableVersion);
        }
        highestTableVersion = Math.max(highestTableVersion, table.version());
    }

    /**
     * Offers a table.
     *
     * @param table The table.
     */
    void offerTable(Table table) {
        if (simulation.hasMutation(Mutation.TABLE_VERSION_UNCHECKED)) {
            blackboard.write(Topics.TABLE, table);
        } else {
            tables.offer(
                    TableParseResult.Accepted.of(table),
                    "peer",
                    simulation.scheduler().nowMillis());
        }
    }

    /**
     * Learns a view of the fleet.
     *
     * @param view The view.
     */
    void receiveView(MembershipView view) {
        blackboard.update(
                Topics.MEMBERSHIP,
                present -> view.revision() > present.revision() ? view : present);
    }

    /** Takes a step. */
    void step() {
        controller.step(simulation.scheduler().nowMillis());
    }

    /**
     * Runs an action of this instance: now, after its pause, or never.
     *
     * @param action The action.
     */
    void run(Runnable action) {
        network.execute(action);
    }

    /** Takes no new callers and starts nothing new. */
    void close() {
        draining = true;
        calls.close();
        chats.close();
    }

    /**
     * Returns {@code true} if nothing is in flight.
     *
     * @return {@code true} if nothing is in flight.
     */
    boolean isIdle() {
        return invocations == 0 && calls.inFlight() == 0 && chats.inFlight() == 0;
    }

    /**
     * Counts the callers' requests.
     *
     * @param change How many more are in flight.
     */
    void addInvocations(int change) {
        invocations += change;
    }

    /**
     * Returns the availability zone.
     *
     * @return The availability zone.
     */
    String zone() {
        return identity.zone();
    }

    /**
     * Returns the identity.
     *
     * @return The identity.
     */
    InstanceIdentity identity() {
        return identity;
    }

    /**
     * Returns the coordinator of calls.
     *
     * @return The coordinator of calls.
     */
    TicketCallCoordinator calls() {
        return calls;
    }

    /**
     * Returns the coordinator of chat turns.
     *
     * @return The coordinator of chat turns.
     */
    CoalescingChatCoordinator chats() {
        return chats;
    }

    /**
     * Returns the table in force.
     *
     * @return The table in force.
     */
    Table table() {
        return blackboard.read(Topics.TABLE);
    }

    /**
     * Returns {@code true} if the instance takes no new callers.
     *
     * @return {@code true} if the instance takes no new callers.
     */
    boolean isDraining() {
        return draining;
    }

    /** Marks the instance as dead. */
    void markDead() {
        dead = true;
    }

    /**
     * Returns {@code true} if the instance died.
     *
     * @return {@code true} if the instance died.
     */
    boolean isDead() {
        return dead;
    }
}
