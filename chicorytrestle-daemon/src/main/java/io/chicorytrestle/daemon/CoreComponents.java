package io.chicorytrestle.daemon;

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
import io.chicorytrestle.daemon.log.LoggingAuditTrail;
import io.chicorytrestle.daemon.loop.MonotonicClock;
import io.chicorytrestle.daemon.settings.Settings;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Holds the decisions of one entry instance, put together.
 *
 * @param blackboard Holds what the controllers share.
 * @param auditTrail Takes note of changes.
 * @param tableRegistry Keeps the table in force.
 * @param tableGossip Brings tables to other entry instances.
 * @param dispatcher Chooses endpoints.
 * @param membershipController Keeps the view of the fleet.
 * @param poisonGuard Holds back requests that crash engines.
 * @param chatCoordinator Answers chat turns.
 * @param callCoordinator Executes calls of plain services.
 */
record CoreComponents(
        Blackboard blackboard,
        LoggingAuditTrail auditTrail,
        TableRegistry tableRegistry,
        TableGossip tableGossip,
        Dispatcher dispatcher,
        MembershipController membershipController,
        FleetPoisonGuard poisonGuard,
        CoalescingChatCoordinator chatCoordinator,
        TicketCallCoordinator callCoordinator) {

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
    static CoreComponents make(
            Settings settings,
            InstanceIdentity self,
            ExternalDependencies surroundings,
            MonotonicClock clock) {
        Blackboard blackboard = surroundings.blackboard();
        LoggingAuditTrail audit =
                new LoggingAuditTrail(self.name(), settings.limits().auditEvents());
        PeerNetwork network = surroundings.network();
        MembershipController membership = membershipController(settings, self, surroundings, audit);
        Dispatcher dispatcher =
                FleetDispatcher.make(
                        blackboard,
                        self,
                        network,
                        surroundings.peerHandlers(),
                        audit,
                        DerivedKeys.routingSettings(settings.tickets()));
        CallEnvironment environment =
                new CallEnvironment(
                        self,
                        blackboard,
                        dispatcher,
                        new ObservedServiceClient(
                                surroundings.serviceClient(), membership, clock::nowMillis),
                        network,
                        clock::nowMillis,
                        nowMillis -> blackboard.read(Topics.HEARTBEAT).isFresh(nowMillis));
        RetryPolicy retries = RetryPolicy.make();
        TicketCallCoordinator calls = callCoordinator(settings, environment, retries);
        calls.register(surroundings.peerHandlers());
        EngineClient engines =
                new ObservedEngineClient(surroundings.engineClient(), membership, clock::nowMillis);
        FleetPoisonGuard poison =
                new FleetPoisonGuard(self, blackboard, network, audit, PoisonSettings.DEFAULT);
        poison.register(surroundings.peerHandlers());
        TableRegistry tables = new TableRegistry(blackboard, audit);
        TableGossip spread =
                new TableGossip(self, blackboard, tables, network, RandomGenerator.getDefault());
        spread.register(surroundings.peerHandlers());
        return new CoreComponents(
                blackboard,
                audit,
                tables,
                spread,
                dispatcher,
                membership,
                poison,
                chatCoordinator(settings, environment, engines, poison, retries),
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
    private static MembershipController membershipController(
            Settings settings,
            InstanceIdentity self,
            ExternalDependencies surroundings,
            LoggingAuditTrail audit) {
        MembershipController membership =
                new MembershipController(
                        MemberDescription.of(
                                self, settings.peers().host(), surroundings.peerPort()),
                        surroundings.blackboard(),
                        surroundings.network(),
                        surroundings.instanceList(),
                        audit,
                        RandomGenerator.getDefault());
        membership.register(surroundings.peerHandlers());
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
    private static CoalescingChatCoordinator chatCoordinator(
            Settings settings,
            CallEnvironment environment,
            EngineClient engines,
            PoisonGuard poison,
            RetryPolicy retries) {
        return new CoalescingChatCoordinator(
                new ChatEnvironment(
                        environment.blackboard(),
                        environment.dispatcher(),
                        engines,
                        poison,
                        new Fingerprinter(DerivedKeys.fingerprintKey(settings.tickets())),
                        retries,
                        FrameValidator.ForSequence::new,
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
    private static TicketCallCoordinator callCoordinator(
            Settings settings, CallEnvironment environment, RetryPolicy retries) {
        return new TicketCallCoordinator(
                environment,
                DerivedKeys.ticketCodec(settings.tickets()),
                new ShardedLedger(ledgerLimits(settings)),
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
    Controller compoundController() {
        PauseDetector pauses = new PauseDetector(blackboard, auditTrail, List.of());
        return new Controller.Compound(
                List.of(
                        pauses,
                        membershipController,
                        tableGossip,
                        dispatcher,
                        poisonGuard,
                        chatCoordinator,
                        callCoordinator));
    }

    /**
     * Returns the requests that are not finished.
     *
     * @return The chat turns and calls in flight.
     */
    int inFlight() {
        return chatCoordinator.inFlight() + callCoordinator.inFlight();
    }

    /**
     * Returns the limits of the ledger.
     *
     * @param settings The settings.
     * @return The limits.
     */
    private static LedgerLimits ledgerLimits(Settings settings) {
        LedgerLimits usual = LedgerLimits.DEFAULT;
        return new LedgerLimits(
                settings.limits().ledgerEntries(),
                usual.maximumBytes(),
                usual.maximumBodyBytes(),
                usual.retentionMillis(),
                usual.fullRetryAfterMillis());
    }

    /**
     * Holds what the decisions reach.
     *
     * @param blackboard Holds what the controllers share.
     * @param network Sends messages to other entry instances.
     * @param peerHandlers Takes the handlers of messages from other entry instances.
     * @param peerPort The TCP port of the peer channel.
     * @param instanceList Reads the platform's list.
     * @param engineClient Reaches engines.
     * @param serviceClient Reaches plain services.
     */
    record ExternalDependencies(
            Blackboard blackboard,
            PeerNetwork network,
            PeerHandlerRegistry peerHandlers,
            int peerPort,
            InstanceListSource instanceList,
            EngineClient engineClient,
            ServiceClient serviceClient) {}
}
