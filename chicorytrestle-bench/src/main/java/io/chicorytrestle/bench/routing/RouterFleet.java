package io.chicorytrestle.bench.routing;

import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.routing.Admission;
import io.chicorytrestle.core.routing.Dispatcher;
import io.chicorytrestle.core.routing.FleetDispatcher;
import io.chicorytrestle.core.routing.PlacementKeys;
import io.chicorytrestle.core.routing.RoutingSettings;
import io.chicorytrestle.core.routing.WorkRequest;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Runs the daemon's production dispatchers on a simulated network. Confined to one thread. */
final class RouterFleet implements RoutingStrategy {

    /** The interval at which dispatchers are stepped, in milliseconds. */
    private static final long STEP_MILLIS = 20;

    /** The maximum time that a turn waits for admission, in milliseconds. */
    private static final long ADMISSION_TIMEOUT_MILLIS = 10_000;

    /** The keys that sign placement tokens, shared by all routers. */
    private static final PlacementKeys PLACEMENT_KEYS =
            PlacementKeys.of(List.of(new PlacementKeys.Key(1, "bench-secret-bench-secret")));

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** The network. */
    private final VirtualNetwork network;

    /** The engines and the membership list that the routers read. */
    private final SimulatedEngineFleet fleet;

    /** The table in force. */
    private final Table table;

    /** The number of zones that routers are assigned to in turn. */
    private final int zones;

    /** The routers by number; a killed one is replaced by its next incarnation. */
    private final List<Router> routers = new ArrayList<>();

    /**
     * Creates a new fleet of routers and starts them.
     *
     * @param scheduler The scheduler.
     * @param network The network.
     * @param fleet The engines and the membership list that the routers read.
     * @param table The table in force.
     * @param count The number of routers.
     * @param zones The number of zones.
     */
    RouterFleet(
            VirtualScheduler scheduler,
            VirtualNetwork network,
            SimulatedEngineFleet fleet,
            Table table,
            int count,
            int zones) {
        this.scheduler = scheduler;
        this.network = network;
        this.fleet = fleet;
        this.table = table;
        this.zones = zones;
        for (int index = 0; index < count; index++) {
            InstanceIdentity identity = identity(index, 1);
            fleet.addInstance(identity);
            routers.add(new Router(identity, MembershipView.EMPTY));
            int number = index;
            fleet.addViewListener(view -> routers.get(number).updateView(view));
        }
        MembershipView view = fleet.currentView();
        routers.forEach(router -> router.updateView(view));
    }

    /**
     * Returns the names of the routers.
     *
     * @return The names, by router number.
     */
    List<String> routerNames() {
        return routers.stream().map(router -> router.identity.name()).toList();
    }

    /**
     * Kills a router and restarts it under the same name.
     *
     * @param number The router's number.
     * @param downMillis The time until the restart in milliseconds.
     */
    void restart(int number, long downMillis) {
        Router router = routers.get(number);
        network.kill(router.identity.name());
        scheduler.scheduleAfter(
                downMillis,
                () -> {
                    InstanceIdentity next = identity(number, router.identity.incarnation() + 1);
                    fleet.addInstance(next);
                    routers.set(number, new Router(next, fleet.currentView()));
                    fleet.publishView();
                });
    }

    /**
     * Pauses a router, as a long garbage collection would.
     *
     * @param number The router's number.
     * @param pauseMillis The length of the pause in milliseconds.
     */
    void pause(int number, long pauseMillis) {
        String name = routers.get(number).identity.name();
        network.pause(name);
        scheduler.scheduleAfter(pauseMillis, () -> network.resume(name));
    }

    /**
     * Returns the number of bytes that all routers sent to peers.
     *
     * @return The bytes of the current incarnations only.
     */
    long sentBytes() {
        return routers.stream().mapToLong(router -> router.node.sentBytes()).sum();
    }

    /**
     * Returns the number of bytes sent by the router that sent most.
     *
     * @return The bytes of the current incarnations only.
     */
    long maximumSentBytes() {
        return routers.stream().mapToLong(router -> router.node.sentBytes()).max().orElse(0);
    }

    @Override
    public void chooseEngine(
            Turn turn,
            String requestId,
            Optional<String> placement,
            Set<String> excluded,
            Consumer<Optional<Choice>> consumer) {
        Router router = runningRouter(turn.router());
        long nowMillis = scheduler.nowMillis();
        WorkRequest request =
                new WorkRequest(
                        requestId,
                        turn.chat(),
                        SimulatedEngine.POOL,
                        turn.promptTokens(),
                        turn.generatedTokens(),
                        nowMillis + ADMISSION_TIMEOUT_MILLIS,
                        placement,
                        excluded);
        router.dispatcher
                .admit(request, nowMillis)
                .whenComplete(
                        (admission, failure) ->
                                consumer.accept(
                                        Optional.ofNullable(admission)
                                                .map(admitted -> router.toChoice(admitted))));
    }

    /**
     * Returns the first running router from a number on, as the platform's load balancer would.
     *
     * @param number The number to start from.
     * @return The router, or the one of that number if none is running.
     */
    private Router runningRouter(int number) {
        for (int offset = 0; offset < routers.size(); offset++) {
            Router router = routers.get((number + offset) % routers.size());
            if (router.node.isRunning()) {
                return router;
            }
        }
        return routers.get(number);
    }

    /**
     * Returns the identity of a router.
     *
     * @param number The router's number.
     * @param incarnation The router's incarnation.
     * @return The identity.
     */
    private InstanceIdentity identity(int number, long incarnation) {
        return new InstanceIdentity("r" + number, "z" + number % zones, incarnation);
    }

    /** One incarnation of a router. */
    private final class Router {

        /** The identity of the incarnation. */
        private final InstanceIdentity identity;

        /** The state that the dispatcher reads. */
        private final Blackboard blackboard = new Blackboard();

        /** The router's connection to the simulated network. */
        private final VirtualNetwork.Node node;

        /** The production dispatcher. */
        private final Dispatcher dispatcher;

        /**
         * Starts a router.
         *
         * @param identity The identity of the incarnation.
         * @param view The initial membership view.
         */
        private Router(InstanceIdentity identity, MembershipView view) {
            this.identity = identity;
            blackboard.write(Topics.TABLE, table);
            blackboard.write(Topics.MEMBERSHIP, view);
            node = network.start(identity);
            dispatcher =
                    FleetDispatcher.make(
                            blackboard,
                            identity,
                            node,
                            node,
                            AuditTrail.NoOp.INSTANCE,
                            RoutingSettings.DEFAULT.withPlacementKeys(PLACEMENT_KEYS));
            scheduler.every(scheduler.nowMillis(), STEP_MILLIS, this::step);
        }

        /** Steps the dispatcher if the router is running. */
        private void step() {
            if (node.isRunning()) {
                dispatcher.step(scheduler.nowMillis());
            }
        }

        /**
         * Updates the membership view unless it is older than the current one.
         *
         * @param view The view.
         */
        private void updateView(MembershipView view) {
            blackboard.update(
                    Topics.MEMBERSHIP,
                    current -> view.revision() > current.revision() ? view : current);
        }

        /**
         * Converts an admission to a choice.
         *
         * @param admission The admission.
         * @return The choice.
         */
        private Choice toChoice(Admission admission) {
            return new Choice(
                    admission.endpoint(),
                    admission.priority(),
                    outcome -> {
                        Optional<String>[] token = newTokenHolder();
                        node.execute(
                                () ->
                                        token[0] =
                                                dispatcher.complete(
                                                        admission, outcome, scheduler.nowMillis()));
                        return token[0];
                    });
        }

        /**
         * Creates an array through which a lambda returns a token.
         *
         * @return An array of length one that holds an empty token.
         */
        @SuppressWarnings("unchecked")
        private Optional<String>[] newTokenHolder() {
            return new Optional[] {Optional.empty()};
        }
    }
}
