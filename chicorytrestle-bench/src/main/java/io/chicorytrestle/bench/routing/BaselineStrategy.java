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

/** Chooses engines in a simple way, for comparison. It is confined to one thread. */
final class BaselineStrategy implements RoutingStrategy {

    /** How engines are chosen. */
    private final Rule rule;

    /** The fleet. */
    private final SimulatedEngineFleet fleet;

    /** The pool's row. */
    private final PoolRow poolRow;

    /** The views of the routers. */
    private final List<MembershipView> viewsByRouter = new ArrayList<>();

    /** The work in flight of each router by engine. */
    private final List<Map<EndpointIdentity, Integer>> inFlightByRouter = new ArrayList<>();

    /** Draws numbers. */
    private final SplittableRandom random;

    /**
     * Creates a new way.
     *
     * @param rule How engines are chosen.
     * @param fleet The fleet.
     * @param row The pool's row.
     * @param routers The number of routers.
     * @param seed The seed.
     */
    BaselineStrategy(Rule rule, SimulatedEngineFleet fleet, PoolRow row, int routers, long seed) {
        this.rule = rule;
        this.fleet = fleet;
        this.poolRow = row;
        random = new SplittableRandom(seed);
        MembershipView view = fleet.currentView();
        for (int index = 0; index < routers; index++) {
            int number = index;
            viewsByRouter.add(view);
            inFlightByRouter.add(new HashMap<>());
            fleet.addViewListener(
                    seen -> {
                        if (seen.revision() > viewsByRouter.get(number).revision()) {
                            viewsByRouter.set(number, seen);
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
                        : viewsByRouter.get(turn.router()).acceptingEndpoints(SimulatedEngine.POOL).stream()
                                .map(EndpointMember::endpoint)
                                .toList();
        List<Endpoint> allowed =
                RendezvousOrder.of(
                                endpoints.stream()
                                        .filter(one -> !excluded.contains(one.name()))
                                        .toList())
                        .order(RendezvousOrder.hash(turn.chat()));
        Optional<Endpoint> chosen = rule.choose(this, turn, allowed);
        Map<EndpointIdentity, Integer> flow = inFlightByRouter.get(turn.router());
        chosen.ifPresent(endpoint -> flow.merge(endpoint.identity(), 1, Integer::sum));
        consumer.accept(
                chosen.map(
                        endpoint ->
                                new Choice(
                                        endpoint,
                                        0,
                                        outcome -> {
                                            flow.merge(endpoint.identity(), -1, Integer::sum);
                                            return Optional.empty();
                                        })));
    }

    /**
     * Returns the true load of an engine.
     *
     * @param endpoint The engine.
     * @return The requests in flight by capacity.
     */
    private double trueLoad(Endpoint endpoint) {
        return (double) trueRequests(endpoint) / endpoint.capacity();
    }

    /**
     * Returns the true requests in flight on an engine.
     *
     * @param endpoint The engine.
     * @return The requests in flight.
     */
    private int trueRequests(Endpoint endpoint) {
        return fleet.findEngine(endpoint.name()).map(SimulatedEngine::requestsInFlight).orElse(0);
    }

    /**
     * Returns the engines that a bound allows.
     *
     * @param endpoints The engines.
     * @param requests Tells the requests in flight on an engine.
     * @return The engines that may take one more.
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

    /** Enumerates the rules. */
    enum Rule {
        /** One router that knows the truth: the most cached tokens within the bound. */
        ORACLE {
            @Override
            Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints) {
                return way.withinBound(endpoints, way::trueRequests).stream()
                        .max(Comparator.comparingInt(endpoint -> way.cachedTokens(turn, endpoint)));
            }
        },
        /** The first engine in rendezvous order. */
        RENDEZVOUS {
            @Override
            Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints) {
                return endpoints.stream().findFirst();
            }
        },
        /** The engine with the least true load. */
        LEAST_LOADED {
            @Override
            Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints) {
                return endpoints.stream().min(Comparator.comparingDouble(way::trueLoad));
            }
        },
        /** Any engine. */
        RANDOM {
            @Override
            Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints) {
                return endpoints.isEmpty()
                        ? Optional.empty()
                        : Optional.of(endpoints.get(way.random.nextInt(endpoints.size())));
            }
        },
        /** The first engine within the bound of the router's own flow. */
        OWN_FLOW {
            @Override
            Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints) {
                Map<EndpointIdentity, Integer> flow = way.inFlightByRouter.get(turn.router());
                return way.withinBound(endpoints, one -> flow.getOrDefault(one.identity(), 0)).stream()
                        .findFirst();
            }
        },
        /** The less loaded of the first two engines in rendezvous order. */
        TWO_CHOICES {
            @Override
            Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints) {
                return endpoints.stream().limit(2).min(Comparator.comparingDouble(way::trueLoad));
            }
        };

        /**
         * Returns the name of this rule in figures.
         *
         * @return The name in camel case.
         */
        String reportName() {
            return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, name());
        }

        /**
         * Chooses an engine.
         *
         * @param way What the rule may know.
         * @param turn The turn.
         * @param endpoints The engines in rendezvous order.
         * @return The engine, or empty if there is none.
         */
        abstract Optional<Endpoint> choose(BaselineStrategy way, Turn turn, List<Endpoint> endpoints);
    }

    /**
     * Returns the tokens of a turn's prompt that an engine truly holds.
     *
     * @param turn The turn.
     * @param endpoint The engine.
     * @return The tokens.
     */
    private int cachedTokens(Turn turn, Endpoint endpoint) {
        return fleet.findEngine(endpoint.name())
                .map(engine -> Math.min(turn.promptTokens(), engine.cachedTokens(turn.chat())))
                .orElse(0);
    }
}
