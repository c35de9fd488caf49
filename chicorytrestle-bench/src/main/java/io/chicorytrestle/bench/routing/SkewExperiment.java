package io.chicorytrestle.bench.routing;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Range;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import io.chicorytrestle.standin.model.EngineProfile;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Measures how unevenly load is distributed while two workspaces surge tenfold, one chat is hot,
 * engines differ in capacity and a zone is lost.
 */
public final class SkewExperiment implements Experiment {

    /** The number of routers. */
    private static final int ROUTERS = 16;

    /** The number of availability zones. */
    private static final int ZONES = 3;

    /** The number of workspaces. */
    private static final int WORKSPACES = 10;

    /** The batch slots of each engine. */
    private static final List<Integer> ENGINE_SLOTS = List.of(8, 8, 16, 16, 24, 24);

    /** The length of a run in milliseconds. */
    private static final long DURATION_MILLIS = 420_000;

    /** The time at which the surge begins, in milliseconds. */
    private static final long SURGE_START_MILLIS = 120_000;

    /** The length of the surge in milliseconds. */
    private static final long SURGE_DURATION_MILLIS = 90_000;

    /** The time at which the hot chat begins, in milliseconds. */
    private static final long HOT_CHAT_START_MILLIS = 260_000;

    /** The number of turns of the hot chat. */
    private static final int HOT_CHAT_TURNS = 40;

    /** The time between turns of the hot chat in milliseconds. */
    private static final long HOT_CHAT_INTERVAL_MILLIS = 250;

    /** The tokens of the hot chat's prompts. */
    private static final int HOT_CHAT_PROMPT_TOKENS = 2_000;

    /** The tokens that a turn of the hot chat generates. */
    private static final int HOT_CHAT_GENERATED_TOKENS = 200;

    /** The time at which a zone is lost, in milliseconds. */
    private static final long ZONE_LOSS_START_MILLIS = 330_000;

    /** The time until the zone is restored, in milliseconds. */
    private static final long ZONE_LOSS_DURATION_MILLIS = 40_000;

    /** The time for the last turns to end, in milliseconds. */
    private static final long DRAIN_MILLIS = 60_000;

    /** The maximum lag of a router's membership view in milliseconds. */
    private static final long MAXIMUM_LIST_LAG_MILLIS = 5_000;

    /** The estimated size of a message in bytes. */
    private static final int MESSAGE_BYTES = 40;

    /** The ceiling of each workspace in requests. */
    private static final int CEILING_REQUESTS = 40;

    /** The maximum queue length of each workspace in requests. */
    private static final int QUEUE_REQUESTS = 256;

    /** The size of an engine's cache in tokens. */
    private static final int CACHE_TOKENS = 300_000;

    /** The maximum queue length of an engine in requests. */
    private static final int ENGINE_QUEUE_REQUESTS = 1_000;

    /** The base load of all workspaces. */
    private static final TraceSettings BASE_TRACE_SETTINGS =
            new TraceSettings(DURATION_MILLIS, 1.6, 6, 20_000, ROUTERS, WORKSPACES, 0.9);

    /** The load that the surge of two workspaces adds. */
    private static final TraceSettings SURGE_TRACE_SETTINGS =
            new TraceSettings(SURGE_DURATION_MILLIS, 12, 6, 8_000, ROUTERS, 2, 0.9);

    @Override
    public String name() {
        return "skew";
    }

    @Override
    public String summary() {
        return "load of engines and waits of quiet workspaces under surges and a lost zone";
    }

    @Override
    public Report run(ExperimentOptions options) throws IOException {
        List<Turn> baseTurns =
                new ArrayList<>(TraceGenerator.generate(BASE_TRACE_SETTINGS, options.seed()));
        List<Turn> surgeTurns = TraceGenerator.generate(SURGE_TRACE_SETTINGS, options.seed() + 1);
        List<Turn> allTurns =
                Stream.concat(
                                baseTurns.stream(),
                                TraceGenerator.shift(surgeTurns, SURGE_START_MILLIS, "s").stream())
                        .toList();
        RunMetrics withoutSurge = simulate(baseTurns, options.seed(), null);
        RunMetrics dispatchers = simulate(allTurns, options.seed(), null);
        ObjectNode metrics = JsonNodeFactory.instance.objectNode();
        metrics.put("seed", options.seed());
        metrics.put("turns", allTurns.size() + HOT_CHAT_TURNS);
        metrics.put("boundMultiple", SimulatedEngine.ROW.boundMultiple());
        writeMetrics(metrics, dispatchers);
        metrics.put(
                "quietWorkspaceP99WaitMillisWithoutSurge", withoutSurge.nonSurgingStartMillis());
        Map<String, Double> bars = new LinkedHashMap<>();
        bars.put("steward", dispatchers.maxOverMean());
        for (BaselineStrategy.Rule rule : BaselineStrategy.Rule.values()) {
            RunMetrics baseline = simulate(allTurns, options.seed(), rule);
            writeMetrics(metrics.putObject(rule.reportName()), baseline);
            bars.put(rule.reportName(), baseline.maxOverMean());
        }
        if (options.plot().isPresent()) {
            BarChart.writePng(options.plot().get(), "busiest engine over the mean, p99", bars);
        }
        boolean aimsMet =
                dispatchers.admissionsOverBound() == 0
                        && dispatchers.ceilingExcess(CEILING_REQUESTS) == 0;
        return new Report(metrics, aimsMet);
    }

    /**
     * Writes the measurements of a run.
     *
     * @param metrics Receives the figures.
     * @param run The measurements of the run.
     */
    private static void writeMetrics(ObjectNode metrics, RunMetrics run) {
        metrics.put("admissions", run.admissions());
        metrics.put("admissionsOverBound", run.admissionsOverBound());
        metrics.put("admissionsOverBoundWithUnknownEngines", run.admissionsOverStrictBound());
        metrics.put("maxOverMeanP99", run.maxOverMean());
        metrics.put("quietWorkspaceP99WaitMillis", run.nonSurgingStartMillis());
        metrics.put("ceilingExcess", run.ceilingExcess(CEILING_REQUESTS));
        metrics.put("done", run.completed());
        metrics.put("refusedNotRun", run.refused());
        metrics.put("utilisation", run.meanUtilisation());
        metrics.put("reuseRatio", run.reuseRatio());
    }

    /**
     * Simulates a run with one routing strategy.
     *
     * @param turns The turns, to which those of the hot chat are added.
     * @param seed The seed of random choices.
     * @param rule The baseline rule to use, or {@code null} for the daemon's dispatchers.
     * @return The measurements.
     */
    private static RunMetrics simulate(
            List<Turn> turns, long seed, BaselineStrategy.@Nullable Rule rule) {
        VirtualScheduler scheduler = new VirtualScheduler(1);
        List<EngineProfile> profiles =
                ENGINE_SLOTS.stream()
                        .map(
                                slots ->
                                        new EngineProfile(
                                                slots,
                                                EngineProfile.DEFAULT.prefillTokensPerSecond(),
                                                EngineProfile.DEFAULT.decodeTokensPerSecond(),
                                                CACHE_TOKENS,
                                                ENGINE_QUEUE_REQUESTS))
                        .toList();
        SimulatedEngineFleet fleet =
                new SimulatedEngineFleet(
                        scheduler,
                        SimulatedEngineFleet.engines(scheduler, profiles, ZONES),
                        MAXIMUM_LIST_LAG_MILLIS,
                        seed);
        VirtualNetwork network = new VirtualNetwork(scheduler, 1, message -> MESSAGE_BYTES);
        RouterFleet routers =
                rule == null
                        ? new RouterFleet(scheduler, network, fleet, table(), ROUTERS, ZONES)
                        : null;
        RoutingStrategy strategy =
                routers == null
                        ? new BaselineStrategy(
                                requireRule(rule), fleet, SimulatedEngine.ROW, ROUTERS, seed)
                        : routers;
        RunMetrics metrics =
                new RunMetrics(
                        Set.of("w0", "w1"),
                        Range.closed(
                                SURGE_START_MILLIS, SURGE_START_MILLIS + SURGE_DURATION_MILLIS));
        TurnDriver driver =
                new TurnDriver(scheduler, fleet, strategy, SimulatedEngine.ROW, metrics);
        driver.schedule(turns);
        driver.schedule(hotChatTurns());
        scheduler.scheduleAt(ZONE_LOSS_START_MILLIS, () -> loseZone(scheduler, fleet, routers));
        scheduler.runUntil(DURATION_MILLIS + DRAIN_MILLIS);
        return metrics;
    }

    /**
     * Requires that a rule is not null, which the null checker cannot infer here.
     *
     * @param rule The rule.
     * @return The rule.
     */
    private static BaselineStrategy.Rule requireRule(BaselineStrategy.@Nullable Rule rule) {
        return Objects.requireNonNull(rule);
    }

    /**
     * Returns the turns of the hot chat.
     *
     * @return The turns.
     */
    private static List<Turn> hotChatTurns() {
        List<Turn> turns = new ArrayList<>();
        for (int index = 0; index < HOT_CHAT_TURNS; index++) {
            turns.add(
                    new Turn(
                            HOT_CHAT_START_MILLIS + index * HOT_CHAT_INTERVAL_MILLIS,
                            new ChatKey("w5", "hot"),
                            HOT_CHAT_PROMPT_TOKENS,
                            index == 0 ? 0 : HOT_CHAT_PROMPT_TOKENS,
                            HOT_CHAT_GENERATED_TOKENS,
                            index % ROUTERS,
                            true));
        }
        return turns;
    }

    /**
     * Kills the engines and routers of the last zone and restarts them later.
     *
     * @param scheduler The scheduler.
     * @param fleet The engines and the membership list.
     * @param routers The routers, or {@code null} if a baseline strategy is simulated.
     */
    private static void loseZone(
            VirtualScheduler scheduler, SimulatedEngineFleet fleet, @Nullable RouterFleet routers) {
        String zone = "z" + (ZONES - 1);
        List<SimulatedEngine> lost =
                fleet.engines().stream()
                        .filter(engine -> engine.endpoint().zone().equals(zone))
                        .toList();
        lost.forEach(SimulatedEngine::kill);
        for (int index = ZONES - 1; routers != null && index < ROUTERS; index += ZONES) {
            routers.restart(index, ZONE_LOSS_DURATION_MILLIS);
        }
        fleet.publishView();
        scheduler.scheduleAfter(
                ZONE_LOSS_DURATION_MILLIS,
                () -> {
                    lost.forEach(SimulatedEngine::restart);
                    fleet.publishView();
                    scheduler.scheduleAfter(
                            MAXIMUM_LIST_LAG_MILLIS,
                            () -> lost.forEach(SimulatedEngine::includeInMean));
                });
    }

    /**
     * Returns the table in force.
     *
     * @return The table.
     */
    private static Table table() {
        Map<String, WorkspaceRow> workspaces = new HashMap<>();
        for (int index = 0; index < WORKSPACES; index++) {
            String name = "w" + index;
            workspaces.put(name, new WorkspaceRow(name, 1, CEILING_REQUESTS, 0, QUEUE_REQUESTS));
        }
        return new Table(1, workspaces, Map.of(SimulatedEngine.POOL, SimulatedEngine.ROW));
    }
}
