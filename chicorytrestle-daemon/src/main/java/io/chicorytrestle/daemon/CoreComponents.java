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
 * Holds the core components of one entry instance and wires them together.
 *
 * @param blackboard The state that the controllers share.
 * @param auditTrail Records audit events.
 * @param tableRegistry Holds the table in force.
 * @param tableGossip Distributes tables to other entry instances.
 * @param dispatcher Selects endpoints.
 * @param membershipController Maintains the membership view.
 * @param poisonGuard Quarantines requests that crash engines.
 * @param chatCoordinator Executes chat turns.
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

    /** The time-out of one attempt to reach a ticket's issuer in milliseconds. */
    private static final long FORWARD_TIMEOUT_MILLIS = 3_000;

    /**
     * Creates and wires the core components of an entry instance, and registers their handlers of
     * peer messages.
     *
     * @param settings The settings.
     * @param self The identity of the entry instance.
     * @param dependencies The dependencies outside the core components.
     * @param clock Supplies the current time.
     * @return The core components.
     */
    static CoreComponents make(
            Settings settings,
            InstanceIdentity self,
            ExternalDependencies dependencies,
            MonotonicClock clock) {
        Blackboard blackboard = dependencies.blackboard();
        LoggingAuditTrail auditTrail =
                new LoggingAuditTrail(self.name(), settings.limits().auditEvents());
        PeerNetwork network = dependencies.network();
        MembershipController membership =
                newMembershipController(settings, self, dependencies, auditTrail);
        Dispatcher dispatcher =
                FleetDispatcher.make(
                        blackboard,
                        self,
                        network,
                        dependencies.peerHandlers(),
                        auditTrail,
                        DerivedKeys.routingSettings(settings.tickets()));
        CallEnvironment environment =
                new CallEnvironment(
                        self,
                        blackboard,
                        dispatcher,
                        new ObservedServiceClient(
                                dependencies.serviceClient(), membership, clock::nowMillis),
                        network,
                        clock::nowMillis,
                        nowMillis -> blackboard.read(Topics.HEARTBEAT).isFresh(nowMillis));
        RetryPolicy retryPolicy = RetryPolicy.make();
        TicketCallCoordinator calls = newCallCoordinator(settings, environment, retryPolicy);
        calls.register(dependencies.peerHandlers());
        EngineClient engineClient =
                new ObservedEngineClient(dependencies.engineClient(), membership, clock::nowMillis);
        FleetPoisonGuard poisonGuard =
                new FleetPoisonGuard(self, blackboard, network, auditTrail, PoisonSettings.DEFAULT);
        poisonGuard.register(dependencies.peerHandlers());
        TableRegistry tables = new TableRegistry(blackboard, auditTrail);
        TableGossip gossip =
                new TableGossip(self, blackboard, tables, network, RandomGenerator.getDefault());
        gossip.register(dependencies.peerHandlers());
        return new CoreComponents(
                blackboard,
                auditTrail,
                tables,
                gossip,
                dispatcher,
                membership,
                poisonGuard,
                newChatCoordinator(settings, environment, engineClient, poisonGuard, retryPolicy),
                calls);
    }

    /**
     * Creates the controller of the membership view and registers its handlers of peer messages.
     *
     * @param settings The settings.
     * @param self The identity of the entry instance.
     * @param dependencies The dependencies outside the core components.
     * @param auditTrail Records audit events.
     * @return The controller.
     */
    private static MembershipController newMembershipController(
            Settings settings,
            InstanceIdentity self,
            ExternalDependencies dependencies,
            LoggingAuditTrail auditTrail) {
        MembershipController membershipController =
                new MembershipController(
                        MemberDescription.of(
                                self, settings.peers().host(), dependencies.peerPort()),
                        dependencies.blackboard(),
                        dependencies.network(),
                        dependencies.instanceList(),
                        auditTrail,
                        RandomGenerator.getDefault());
        membershipController.register(dependencies.peerHandlers());
        return membershipController;
    }

    /**
     * Creates the coordinator of chat turns.
     *
     * @param settings The settings.
     * @param environment The collaborators of the call coordinator, some of which chat turns share.
     * @param engineClient Sends requests to engines.
     * @param poisonGuard Quarantines requests that crash engines.
     * @param retryPolicy Decides whether a failed attempt is retried.
     * @return The coordinator.
     */
    private static CoalescingChatCoordinator newChatCoordinator(
            Settings settings,
            CallEnvironment environment,
            EngineClient engineClient,
            PoisonGuard poisonGuard,
            RetryPolicy retryPolicy) {
        return new CoalescingChatCoordinator(
                new ChatEnvironment(
                        environment.blackboard(),
                        environment.dispatcher(),
                        engineClient,
                        poisonGuard,
                        new Fingerprinter(DerivedKeys.fingerprintKey(settings.tickets())),
                        retryPolicy,
                        FrameValidator.ForSequence::new,
                        environment.clock()),
                ChatSettings.DEFAULT);
    }

    /**
     * Creates the coordinator of calls of plain services.
     *
     * @param settings The settings.
     * @param environment The collaborators of the call coordinator.
     * @param retryPolicy Decides whether a failed attempt is retried.
     * @return The coordinator.
     */
    private static TicketCallCoordinator newCallCoordinator(
            Settings settings, CallEnvironment environment, RetryPolicy retryPolicy) {
        return new TicketCallCoordinator(
                environment,
                DerivedKeys.ticketCodec(settings.tickets()),
                new ShardedLedger(ledgerLimits(settings)),
                retryPolicy,
                new CallSettings(
                        settings.tickets().lifeMillis(),
                        FORWARD_TIMEOUT_MILLIS,
                        Set.copyOf(settings.endpoints().checkIdempotencyKeys())));
    }

    /**
     * Returns a controller that steps all others, in a fixed order. The pause detector comes first.
     *
     * @return The compound controller.
     */
    Controller compoundController() {
        PauseDetector pauseDetector = new PauseDetector(blackboard, auditTrail, List.of());
        return new Controller.Compound(
                List.of(
                        pauseDetector,
                        membershipController,
                        tableGossip,
                        dispatcher,
                        poisonGuard,
                        chatCoordinator,
                        callCoordinator));
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return The number of chat turns and calls in flight.
     */
    int inFlight() {
        return chatCoordinator.inFlight() + callCoordinator.inFlight();
    }

    /**
     * Returns the limits of the ledger, with defaults for those that the settings lack.
     *
     * @param settings The settings.
     * @return The limits.
     */
    private static LedgerLimits ledgerLimits(Settings settings) {
        LedgerLimits defaults = LedgerLimits.DEFAULT;
        return new LedgerLimits(
                settings.limits().ledgerEntries(),
                defaults.maximumBytes(),
                defaults.maximumBodyBytes(),
                defaults.retentionMillis(),
                defaults.fullRetryAfterMillis());
    }

    /**
     * Holds the dependencies of the core components that the caller provides.
     *
     * @param blackboard The state that the controllers share.
     * @param network Sends messages to other entry instances.
     * @param peerHandlers Registers the handlers of messages from other entry instances.
     * @param peerPort The TCP port of the peer channel.
     * @param instanceList Reads the platform's instance list.
     * @param engineClient Sends requests to engines.
     * @param serviceClient Sends requests to plain services.
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
