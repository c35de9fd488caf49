package io.chicorytrestle.bench.routing;

import com.google.common.base.CaseFormat;
import io.chicorytrestle.core.identity.Endpoint;
import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.membership.EndpointMember;
import io.chicorytrestle.core.membership.MembershipView;
import io.chicorytrestle.core.routing.LoadBound;
import io.chicorytrestle.core.routing.RendezvousOrder;
import io.chicorytrestle.core.table.PoolRow;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Chooses engines by a simple rule that serves as a baseline. Confined to one thread. */
final class BaselineStrategy implements RoutingStrategy {

    /** The rule by which engines are chosen. */
    private final Rule rule;

    /** The engines and the membership list. */
    private final SimulatedEngineFleet fleet;

    /** The pool's row of the table, which holds its load bound. */
    private final PoolRow poolRow;

    /** The latest membership view of each router, by router number. */
    private final List<MembershipView> viewsByRouter = new ArrayList<>();

    /** The requests that each router has in flight on each engine, by router number. */
    private final List<Map<EndpointIdentity, Integer>> inFlightByRouter = new ArrayList<>();

    /** The random source of {@link Rule#RANDOM}. */
    private final SplittableRandom random;

    /**
     * Creates a new strategy and subscribes each router to membership views.
     *
     * @param rule The rule by which engines are chosen.
     * @param fleet The engines and the membership list.
     * @param poolRow The pool's row of the table.
     * @param routers The number of routers.
     * @param seed The seed of random choices.
     */
    BaselineStrategy(
            Rule rule, SimulatedEngineFleet fleet, PoolRow poolRow, int routers, long seed) {
        this.rule = rule;
        this.fleet = fleet;
        this.poolRow = poolRow;
        random = new SplittableRandom(seed);
        MembershipView view = fleet.currentView();
        for (int index = 0; index < routers; index++) {
            int number = index;
            viewsByRouter.add(view);
            inFlightByRouter.add(new HashMap<>());
            fleet.addViewListener(
                    update -> {
                        if (update.revision() > viewsByRouter.get(number).revision()) {
                            viewsByRouter.set(number, update);
                        }
                    });
        }
    }

    @Override
    public void chooseEngine(
            Turn turn,
            String requestId,
            Optional<String> placement,
            Set<String> excluded,
            Consumer<Optional<Choice>> consumer) {
        List<Endpoint> endpoints =
                rule == Rule.ORACLE
                        ? fleet.liveEngines().stream().map(SimulatedEngine::endpoint).toList()
                        : viewsByRouter
                                .get(turn.router())
                                .acceptingEndpoints(SimulatedEngine.POOL)
                                .stream()
                                .map(EndpointMember::endpoint)
                                .toList();
        List<Endpoint> allowed =
                RendezvousOrder.of(
                                endpoints.stream()
                                        .filter(endpoint -> !excluded.contains(endpoint.name()))
                                        .toList())
                        .order(RendezvousOrder.hash(turn.chat()));
        Optional<Endpoint> chosen = rule.choose(this, turn, allowed);
        Map<EndpointIdentity, Integer> inFlight = inFlightByRouter.get(turn.router());
        chosen.ifPresent(endpoint -> inFlight.merge(endpoint.identity(), 1, Integer::sum));
        consumer.accept(
                chosen.map(
                        endpoint ->
                                new Choice(
                                        endpoint,
                                        0,
                                        outcome -> {
                                            inFlight.merge(endpoint.identity(), -1, Integer::sum);
                                            return Optional.empty();
                                        })));
    }

    /**
     * Returns the actual load of an engine, without reporting lag.
     *
     * @param endpoint The engine.
     * @return The requests in flight divided by the capacity.
     */
    private double trueLoad(Endpoint endpoint) {
        return (double) trueRequests(endpoint) / endpoint.capacity();
    }

    /**
     * Returns the actual number of requests in flight on an engine.
     *
     * @param endpoint The engine.
     * @return The requests in flight, or zero if there is no such engine.
     */
    private int trueRequests(Endpoint endpoint) {
        return fleet.findEngine(endpoint.name()).map(SimulatedEngine::requestsInFlight).orElse(0);
    }

    /**
     * Returns the engines whose load is below the pool's bound.
     *
     * @param endpoints The engines.
     * @param requests Returns the requests in flight on an engine.
     * @return The engines that may take one more request.
     */
    private List<Endpoint> withinBound(
            List<Endpoint> endpoints, java.util.function.ToIntFunction<Endpoint> requests) {
        LoadBound bound = new LoadBound(poolRow.boundMultiple(), poolRow.ceilingRequests());
        long poolRequests = endpoints.stream().mapToInt(requests).sum();
        long poolCapacity = endpoints.stream().mapToInt(Endpoint::capacity).sum();
        return endpoints.stream()
                .filter(
                        endpoint ->
                                requests.applyAsInt(endpoint)
                                        < bound.maximumRequests(
                                                poolRequests, endpoint.capacity(), poolCapacity))
                .toList();
    }

    /** Enumerates the rules; their names in camel case appear in reports and plots. */
    enum Rule {
        /** A single router with perfect knowledge: the most cached tokens within the bound. */
        ORACLE {
            @Override
            Optional<Endpoint> choose(
                    BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints) {
                return strategy.withinBound(endpoints, strategy::trueRequests).stream()
                        .max(
                                Comparator.comparingInt(
                                        endpoint -> strategy.cachedTokens(turn, endpoint)));
            }
        },
        /** The first engine in rendezvous order. */
        RENDEZVOUS {
            @Override
            Optional<Endpoint> choose(
                    BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints) {
                return endpoints.stream().findFirst();
            }
        },
        /** The engine with the lowest actual load. */
        LEAST_LOADED {
            @Override
            Optional<Endpoint> choose(
                    BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints) {
                return endpoints.stream().min(Comparator.comparingDouble(strategy::trueLoad));
            }
        },
        /** An engine picked uniformly at random. */
        RANDOM {
            @Override
            Optional<Endpoint> choose(
                    BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints) {
                return endpoints.isEmpty()
                        ? Optional.empty()
                        : Optional.of(endpoints.get(strategy.random.nextInt(endpoints.size())));
            }
        },
        /** The first engine that is within the bound by the router's own requests in flight. */
        OWN_FLOW {
            @Override
            Optional<Endpoint> choose(
                    BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints) {
                Map<EndpointIdentity, Integer> inFlight =
                        strategy.inFlightByRouter.get(turn.router());
                return strategy
                        .withinBound(
                                endpoints,
                                endpoint -> inFlight.getOrDefault(endpoint.identity(), 0))
                        .stream()
                        .findFirst();
            }
        },
        /** The engine with the lower actual load of the first two in rendezvous order. */
        TWO_CHOICES {
            @Override
            Optional<Endpoint> choose(
                    BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints) {
                return endpoints.stream()
                        .limit(2)
                        .min(Comparator.comparingDouble(strategy::trueLoad));
            }
        };

        /**
         * Returns the name of this rule in reports and plots.
         *
         * @return The name in camel case.
         */
        String reportName() {
            return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, name());
        }

        /**
         * Chooses an engine.
         *
         * @param strategy The strategy whose state the rule reads.
         * @param turn The turn.
         * @param endpoints The engines in rendezvous order.
         * @return The engine, or empty if no engine qualifies.
         */
        abstract Optional<Endpoint> choose(
                BaselineStrategy strategy, Turn turn, List<Endpoint> endpoints);
    }

    /**
     * Returns the tokens of a turn's prompt that an engine actually has in its cache.
     *
     * @param turn The turn.
     * @param endpoint The engine.
     * @return The number of tokens.
     */
    private int cachedTokens(Turn turn, Endpoint endpoint) {
        return fleet.findEngine(endpoint.name())
                .map(engine -> Math.min(turn.promptTokens(), engine.cachedTokens(turn.chat())))
                .orElse(0);
    }
}
