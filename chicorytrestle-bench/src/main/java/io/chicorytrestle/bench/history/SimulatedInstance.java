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

/**
 * Runs one incarnation of an entry instance: the real coordinators and controllers over a simulated
 * network and simulated endpoints.
 */
final class SimulatedInstance {

    /** The key by which all entry instances sign tickets and fingerprint prompts. */
    private static final byte[] SECRET =
            "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8);

    /** The maximum number of attempts that the instance makes for one request. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    /** The lifetime of tickets in most histories, in milliseconds. */
    private static final long TICKET_LIFETIME_MILLIS = 90_000;

    /** The lifetime of tickets in histories with short-lived tickets, in milliseconds. */
    private static final long SHORT_TICKET_LIFETIME_MILLIS = 5_000;

    /** The time-out of one attempt to reach the issuer of a ticket, in milliseconds. */
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;

    /** The settings of the chat coordinator. */
    private static final ChatSettings CHAT_SETTINGS = new ChatSettings(2_000, 3, 100);

    /** The simulation that the instance belongs to. */
    private final HistorySimulation simulation;

    /** The name, zone and incarnation of the instance. */
    private final InstanceIdentity identity;

    /** The connection of this incarnation to the virtual network. */
    private final VirtualNetwork.Node network;

    /** The state that the controllers of the instance share. */
    private final Blackboard blackboard = new Blackboard();

    /** Puts offered tables into force unless they are older. */
    private final TableRegistry tables = new TableRegistry(blackboard, AuditTrail.NoOp.INSTANCE);

    /** The coordinator of service calls. */
    private final TicketCallCoordinator calls;

    /** The coordinator of chat turns. */
    private final CoalescingChatCoordinator chats;

    /** All controllers that take part in a step, in their order. */
    private final Controller controller;

    /** The highest version of the table that has been in force. */
    private long highestTableVersion;

    /** Whether the instance is shutting down and accepts no new requests of callers. */
    private boolean draining;

    /** Whether this incarnation was killed or has exited. */
    private boolean dead;

    /** The number of callers' requests in flight at this instance. */
    private int invocations;

    /**
     * Creates and starts an incarnation, with the components that the mutation of the simulation
     * replaces.
     *
     * @param simulation The simulation that the instance belongs to.
     * @param network The virtual network between entry instances.
     * @param identity The name, zone and incarnation of the instance.
     */
    SimulatedInstance(
            HistorySimulation simulation, VirtualNetwork network, InstanceIdentity identity) {
        this.simulation = simulation;
        this.identity = identity;
        this.network = network.start(identity);
        Mutation mutation = simulation.mutation();
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
                                mutation.serviceClient(simulation.endpoints().serviceClient(this)),
                                mutation.peerNetwork(this.network),
                                simulation.scheduler()::nowMillis,
                                nowMillis -> true),
                        mutation.ticketCodec(new HmacTicketCodec(SECRET), identity.incarnation()),
                        mutation.ledger(new ShardedLedger(LedgerLimits.DEFAULT)),
                        retries,
                        new CallSettings(
                                simulation.hasShortLivedTickets()
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
                                mutation.engineClient(simulation.endpoints().engineClient(this)),
                                poison,
                                new Fingerprinter(SECRET),
                                retries,
                                id -> mutation.frameCheck(new FrameValidator.ForSequence(id), id),
                                simulation.scheduler()::nowMillis),
                        CHAT_SETTINGS);
        controller = new Controller.Compound(List.of(dispatcher, calls, chats, poison));
        blackboard.addListener(Topics.TABLE, this::onTable);
    }

    /**
     * Creates the guard that quarantines prompts which crash engines, and registers its message
     * handlers.
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
     * Records a violation if a table comes into force that is older than a previous one.
     *
     * @param table The table that came into force.
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
     * Offers a table to the registry, or puts it into force unchecked if the mutation says so.
     *
     * @param table The table, which may be older than the one in force.
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
     * Receives a view of the fleet. A view with a revision that is not newer is ignored.
     *
     * @param view The view.
     */
    void receiveView(MembershipView view) {
        blackboard.update(
                Topics.MEMBERSHIP,
                present -> view.revision() > present.revision() ? view : present);
    }

    /** Steps all controllers at the present virtual time. */
    void step() {
        controller.step(simulation.scheduler().nowMillis());
    }

    /**
     * Runs an action at this instance: immediately, after its pause, or never if it was killed.
     *
     * @param action The action.
     */
    void run(Runnable action) {
        network.execute(action);
    }

    /** Starts the shutdown: the instance accepts no new requests and starts no further work. */
    void close() {
        draining = true;
        calls.close();
        chats.close();
    }

    /**
     * Returns whether the instance has completed all of its work.
     *
     * @return {@code true} if no request of a caller, no call and no chat turn is in flight.
     */
    boolean isIdle() {
        return invocations == 0 && calls.inFlight() == 0 && chats.inFlight() == 0;
    }

    /**
     * Adjusts the number of callers' requests in flight.
     *
     * @param change The number to add, negative when requests end.
     */
    void addInvocations(int change) {
        invocations += change;
    }

    /**
     * Returns the availability zone of the instance.
     *
     * @return The name of the zone.
     */
    String zone() {
        return identity.zone();
    }

    /**
     * Returns the identity of this incarnation.
     *
     * @return The name, zone and incarnation.
     */
    InstanceIdentity identity() {
        return identity;
    }

    /**
     * Returns the coordinator of service calls.
     *
     * @return The coordinator, which callers use instead of HTTP.
     */
    TicketCallCoordinator calls() {
        return calls;
    }

    /**
     * Returns the coordinator of chat turns.
     *
     * @return The coordinator, which callers use instead of HTTP.
     */
    CoalescingChatCoordinator chats() {
        return chats;
    }

    /**
     * Returns the table that is in force at this instance.
     *
     * @return The table.
     */
    Table table() {
        return blackboard.read(Topics.TABLE);
    }

    /**
     * Returns whether the instance is shutting down.
     *
     * @return {@code true} if it accepts no new requests of callers.
     */
    boolean isDraining() {
        return draining;
    }

    /** Marks this incarnation as dead, after which it is neither stepped nor answers callers. */
    void markDead() {
        dead = true;
    }

    /**
     * Returns whether this incarnation was killed or has exited.
     *
     * @return {@code true} if it is dead.
     */
    boolean isDead() {
        return dead;
    }
}
