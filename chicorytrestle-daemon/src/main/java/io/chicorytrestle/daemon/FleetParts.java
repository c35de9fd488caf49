package io.chicorytrestle.daemon;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Controller;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.call.CallEnvironment;
import io.chicorytrestle.core.call.CallSettings;
import io.chicorytrestle.core.call.TicketCallCoordinator;
import io.chicorytrestle.core.chat.ChatEnvironment;
import io.chicorytrestle.core.chat.ChatSettings;
import io.chicorytrestle.core.chat.FrameCheck;
import io.chicorytrestle.core.chat.JoiningChatCoordinator;
import io.chicorytrestle.core.endpoint.EngineClient;
import io.chicorytrestle.core.endpoint.ServiceClient;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.InstanceListSource;
import io.chicorytrestle.core.membership.MemberDescription;
import io.chicorytrestle.core.membership.MembershipController;
import io.chicorytrestle.core.pause.PauseDetector;
import io.chicorytrestle.core.peer.PeerHandlerRegistry;
import io.chicorytrestle.core.peer.PeerNetwork;
import io.chicorytrestle.core.poison.Fingerprinter;
import io.chicorytrestle.core.poison.FleetPoisonGuard;
import io.chicorytrestle.core.poison.PoisonGuard;
import io.chicorytrestle.core.poison.PoisonSettings;
import io.chicorytrestle.core.retry.RetryPolicy;
import io.chicorytrestle.core.routing.Dispatcher;
import io.chicorytrestle.core.routing.FleetDispatcher;
import io.chicorytrestle.core.table.TableGossip;
import io.chicorytrestle.core.table.TableRegistry;
import io.chicorytrestle.core.ticket.LedgerLimits;
import io.chicorytrestle.core.ticket.ShardedLedger;
import io.chicorytrestle.daemon.endpoint.ObservedEngineClient;
import io.chicorytrestle.daemon.endpoint.ObservedServiceClient;
import io.chicorytrestle.daemon.log.LoggedAuditTrail;
import io.chicorytrestle.daemon.loop.SteadyClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Holds the decisions of one entry instance, put together.
 *
 * @param blackboard Holds what the controllers share.
 * @param audit Takes note of changes.
 * @param tables Keeps the table in force.
 * @param spread Brings tables to other entry instances.
 * @param dispatcher Chooses endpoints.
 * @param membership Keeps the view of the fleet.
 * @param poison Holds back requests that crash engines.
 * @param chats Answers chat turns.
 * @param calls Executes calls of plain services.
 */
record FleetParts(
        Blackboard blackboard,
        LoggedAuditTrail audit,
        TableRegistry tables,
        TableGossip spread,
        Dispatcher dispatcher,
        MembershipController membership,
        FleetPoisonGuard poison,
        JoiningChatCoordinator chats,
        TicketCallCoordinator calls) {

    /** How long one try to reach a ticket's issuer waits, in milliseconds. */
    private static final long FORWARD_TIMEOUT_MILLIS = 3_000;

    /**
     * Puts the decisions of an entry instance together.
     *
     * @param settings The settings.
     * @param self The identity of the entry instance.
     * @param surroundings What the decisions reach.
     * @param clock Tells the present time.
     * @return The decisions.
     */
    static FleetParts make(
            Settings settings,
            InstanceIdentity self,
            Surroundings surroundings,
            SteadyClock clock) {
        Blackboard blackboard = surroundings.blackboard();
        LoggedAuditTrail audit = new LoggedAuditTrail(self.name(), settings.limits().auditEvents());
        PeerNetwork network = surroundings.network();
        MembershipController membership = membership(settings, self, surroundings, audit);
        Dispatcher dispatcher =
                FleetDispatcher.make(
                        blackboard,
                        self,
                        network,
                        surroundings.registry(),
                        audit,
                        SharedKeys.routing(settings.tickets()));
        CallEnvironment environment =
                new CallEnvironment(
                        self,
                        blackboard,
                        dispatcher,
                        new ObservedServiceClient(
                                surroundings.services(), membership, clock::nowMillis),
                        network,
                        clock::nowMillis,
                        nowMillis -> blackboard.read(Topics.HEARTBEAT).isFresh(nowMillis));
        RetryPolicy retries = RetryPolicy.make();
        TicketCallCoordinator calls = calls(settings, environment, retries);
        calls.register(surroundings.registry());
        EngineClient engines =
                new ObservedEngineClient(surroundings.engines(), membership, clock::nowMillis);
        FleetPoisonGuard poison =
                new FleetPoisonGuard(self, blackboard, network, audit, PoisonSettings.DEFAULT);
        poison.register(surroundings.registry());
        TableRegistry tables = new TableRegistry(blackboard, audit);
        TableGossip spread =
                new TableGossip(self, blackboard, tables, network, RandomGenerator.getDefault());
        spread.register(surroundings.registry());
        return new FleetParts(
                blackboard,
                audit,
                tables,
                spread,
                dispatcher,
                membership,
                poison,
                chats(settings, environment, engines, poison, retries),
                calls);
    }

    /**
     * Creates the controller of the view of the fleet.
     *
     * @param settings The settings.
     * @param self The identity of the entry instance.
     * @param surroundings What the decisions reach.
     * @param audit Takes note of changes.
     * @return The controller.
     */
    private static MembershipController membership(
            Settings settings,
            InstanceIdentity self,
            Surroundings surroundings,
            LoggedAuditTrail audit) {
        MembershipController membership =
                new MembershipController(
                        MemberDescription.of(
                                self, settings.peers().host(), surroundings.peerPort()),
                        surroundings.blackboard(),
                        surroundings.network(),
                        surroundings.list(),
                        audit,
                        RandomGenerator.getDefault());
        membership.register(surroundings.registry());
        return membership;
    }

    /**
     * Creates the coordinator of chat turns.
     *
     * @param settings The settings.
     * @param environment What calls of plain services work with.
     * @param engines Reaches engines.
     * @param poison Holds back requests that crash engines.
     * @param retries Decides on further attempts.
     * @return The coordinator.
     */
    private static JoiningChatCoordinator chats(
            Settings settings,
            CallEnvironment environment,
            EngineClient engines,
            PoisonGuard poison,
            RetryPolicy retries) {
        return new JoiningChatCoordinator(
                new ChatEnvironment(
                        environment.blackboard(),
                        environment.dispatcher(),
                        engines,
                        poison,
                        new Fingerprinter(SharedKeys.fingerprints(settings.tickets())),
                        retries,
                        FrameCheck.ForSequence::new,
                        environment.clock()),
                ChatSettings.DEFAULT);
    }

    /**
     * Creates the coordinator of calls of plain services.
     *
     * @param settings The settings.
     * @param environment What calls work with.
     * @param retries Decides on further attempts.
     * @return The coordinator.
     */
    private static TicketCallCoordinator calls(
            Settings settings, CallEnvironment environment, RetryPolicy retries) {
        return new TicketCallCoordinator(
                environment,
                SharedKeys.tickets(settings.tickets()),
                new ShardedLedger(limits(settings)),
                retries,
                new CallSettings(
                        settings.tickets().lifeMillis(),
                        FORWARD_TIMEOUT_MILLIS,
                        Set.copyOf(settings.endpoints().checkIdempotencyKeys())));
    }

    /**
     * Returns everything that is stepped, in order.
     *
     * @return The controllers.
     */
    Controller controller() {
        PauseDetector pauses = new PauseDetector(blackboard, audit, List.of());
        return new Controller.Compound(
                List.of(pauses, membership, spread, dispatcher, poison, chats, calls));
    }

    /**
     * Returns the requests that are not finished.
     *
     * @return The chat turns and calls in flight.
     */
    int inFlight() {
        return chats.inFlight() + calls.inFlight();
    }

    /**
     * Returns the limits of the ledger.
     *
     * @param settings The settings.
     * @return The limits.
     */
    private static LedgerLimits limits(Settings settings) {
        LedgerLimits usual = LedgerLimits.DEFAULT;
        return new LedgerLimits(
                settings.limits().ledgerEntries(),
                usual.maximumBytes(),
                usual.maximumBodyBytes(),
                usual.retentionMillis(),
                usual.fullRetryMillis());
    }

    /**
     * Holds what the decisions reach.
     *
     * @param blackboard Holds what the controllers share.
     * @param network Sends messages to other entry instances.
     * @param registry Takes the handlers of messages from other entry instances.
     * @param peerPort The TCP port of the peer channel.
     * @param list Reads the platform's list.
     * @param engines Reaches engines.
     * @param services Reaches plain services.
     */
    record Surroundings(
            Blackboard blackboard,
            PeerNetwork network,
            PeerHandlerRegistry registry,
            int peerPort,
            InstanceListSource list,
            EngineClient engines,
            ServiceClient services) {}
}
