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

/** Runs the daemon's own dispatchers on a fake network. It is confined to one thread. */
final class RouterFleet implements RoutingStrategy {

    /** The time between steps of a dispatcher in milliseconds. */
    private static final long STEP_MILLIS = 20;

    /** The time that a turn may wait for its engine, in milliseconds. */
    private static final long ADMISSION_TIMEOUT_MILLIS = 10_000;

    /** The keys of the placement tokens. */
    private static final PlacementKeys PLACEMENT_KEYS =
            PlacementKeys.of(List.of(new PlacementKeys.Key(1, "bench-secret-bench-secret")));

    /** The scheduler. */
    private final VirtualScheduler scheduler;

    /** The network. */
    private final VirtualNetwork network;

    /** The fleet whose list the routers read. */
    private final SimulatedEngineFleet fleet;

    /** The table in force. */
    private final Table table;

    /** The number of zones. */
    private final int zones;

    /** The routers by number; one that was killed is replaced by its next run. */
    private final List<Router> routers = new ArrayList<>();

    /**
     * Creates a new fleet of routers and starts them.
     *
     * @param scheduler The scheduler.
     * @param network The network.
     * @param fleet The fleet whose list the routers read.
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
     * @return The names of the routers.
     */
    List<String> routerNames() {
        return routers.stream().map(router -> router.identity.name()).toList();
    }

    /**
     * Kills a router and starts it again after a while under the same name.
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
     * Lets a router stand still for a while.
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
     * Returns the bytes that all routers sent.
     *
     * @return The bytes, of the present runs only.
     */
    long sentBytes() {
        return routers.stream().mapToLong(router -> router.node.sentBytes()).sum();
    }

    /**
     * Returns the bytes that the busiest router sent.
     *
     * @return The bytes, of the present runs only.
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
                                                .map(given -> router.toChoice(given))));
    }

    /**
     * Returns a router that runs, as the platform's balancer picks it.
     *
     * @param number The number to start from.
     * @return The router.
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
     * @param incarnation The number of its run.
     * @return The identity.
     */
    private InstanceIdentity identity(int number, long incarnation) {
        return new InstanceIdentity("r" + number, "z" + number % zones, incarnation);
    }

    /** One run of a router. */
    private final class Router {

        /** The identity of the run. */
        private final InstanceIdentity identity;

        /** The router's blackboard. */
        private final Blackboard blackboard = new Blackboard();

        /** The router's side of the network. */
        private final VirtualNetwork.Node node;

        /** The daemon's own dispatcher. */
        private final Dispatcher dispatcher;

        /**
         * Starts a router.
         *
         * @param identity The identity of the run.
         * @param view The view to start with.
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
            scheduler.scheduleRepeating(scheduler.nowMillis(), STEP_MILLIS, this::step);
        }

        /** Steps the dispatcher if the router runs. */
        private void step() {
            if (node.isRunning()) {
                dispatcher.step(scheduler.nowMillis());
            }
        }

        /**
         * Takes in a view unless it is older than the present one.
         *
         * @param view The view.
         */
        private void updateView(MembershipView view) {
            blackboard.update(
                    Topics.MEMBERSHIP,
                    present -> view.revision() > present.revision() ? view : present);
        }

        /**
         * Returns an admission as a choice.
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
         * Returns a place for a token.
         *
         * @return An array of one, which holds no token.
         */
        @SuppressWarnings("unchecked")
        private Optional<String>[] newTokenHolder() {
            return new Optional[] {Optional.empty()};
        }
    }
}
