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
 * Measures how unevenly load falls while two workspaces surge tenfold, one chat is hot, engines are
 * of unequal capacity and a zone is lost.
 */
public final class SkewExperiment implements Experiment {

    /** The number of routers. */
    private static final int ROUTERS = 16;

    /** The number of availability zones. */
    private static final int ZONES = 3;

    /** The number of workspaces. */
    private static final int WORKSPACES = 10;

    /** The slots of the engines. */
    private static final List<Integer> ENGINE_SLOTS = List.of(8, 8, 16, 16, 24, 24);

    /** The length of a run in milliseconds. */
    private static final long DURATION_MILLIS = 420_000;

    /** The time at which the surge begins, in milliseconds. */
    private static final long SURGE_START_MILLIS = 120_000;

    /** The length of the surge in milliseconds. */
    private static final long SURGE_DURATION_MILLIS = 90_000;

    /** The time at which the hot chat begins, in milliseconds. */
    private static final long HOT_CHAT_START_MILLIS = 260_000;

    /** The turns of the hot chat. */
    private static final int HOT_CHAT_TURNS = 40;

    /** The time between turns of the hot chat in milliseconds. */
    private static final long HOT_CHAT_INTERVAL_MILLIS = 250;

    /** The tokens of the hot chat's prompts. */
    private static final int HOT_CHAT_PROMPT_TOKENS = 2_000;

    /** The tokens that a turn of the hot chat generates. */
    private static final int HOT_CHAT_GENERATED_TOKENS = 200;

    /** The time at which a zone is lost, in milliseconds. */
    private static final long ZONE_LOSS_START_MILLIS = 330_000;

    /** The time until the zone is back in milliseconds. */
    private static final long ZONE_LOSS_DURATION_MILLIS = 40_000;

    /** The time for the last turns to end in milliseconds. */
    private static final long DRAIN_MILLIS = 60_000;

    /** The longest lag of a router's list in milliseconds. */
    private static final long MAXIMUM_LIST_LAG_MILLIS = 5_000;

    /** The bytes of a message, as an estimate. */
    private static final int MESSAGE_BYTES = 40;

    /** The ceiling of each workspace in requests. */
    private static final int CEILING_REQUESTS = 40;

    /** The longest queue of each workspace in requests. */
    private static final int QUEUE_REQUESTS = 256;

    /** The tokens that the cache of an engine holds. */
    private static final int CACHE_TOKENS = 300_000;

    /** The longest queue of an engine in requests. */
    private static final int ENGINE_QUEUE_REQUESTS = 1_000;

    /** The turns of quiet workspaces. */
    private static final TraceSettings BASE_TRACE_SETTINGS =
            new TraceSettings(DURATION_MILLIS, 1.6, 6, 20_000, ROUTERS, WORKSPACES, 0.9);

    /** The turns that a surge of two workspaces adds. */
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
        List<Turn> quiet =
                new ArrayList<>(TraceGenerator.generate(BASE_TRACE_SETTINGS, options.seed()));
        List<Turn> surge = TraceGenerator.generate(SURGE_TRACE_SETTINGS, options.seed() + 1);
        List<Turn> whole =
                Stream.concat(
                                quiet.stream(),
                                TraceGenerator.shift(surge, SURGE_START_MILLIS, "s").stream())
                        .toList();
        RunMetrics calm = simulate(quiet, options.seed(), null);
        RunMetrics steward = simulate(whole, options.seed(), null);
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("seed", options.seed());
        figures.put("turns", whole.size() + HOT_CHAT_TURNS);
        figures.put("boundMultiple", SimulatedEngine.ROW.boundMultiple());
        writeMetrics(figures, steward);
        figures.put("quietWorkspaceP99WaitMillisWithoutSurge", calm.nonSurgingStartMillis());
        Map<String, Double> bars = new LinkedHashMap<>();
        bars.put("steward", steward.maxOverMean());
        for (BaselineStrategy.Rule rule : BaselineStrategy.Rule.values()) {
            RunMetrics baseline = simulate(whole, options.seed(), rule);
            writeMetrics(figures.putObject(rule.reportName()), baseline);
            bars.put(rule.reportName(), baseline.maxOverMean());
        }
        if (options.plot().isPresent()) {
            BarChart.writePng(options.plot().get(), "busiest engine over the mean, p99", bars);
        }
        boolean met =
                steward.admissionsOverBound() == 0 && steward.ceilingExcess(CEILING_REQUESTS) == 0;
        return new Report(figures, met);
    }

    /**
     * Adds what a run measured.
     *
     * @param figures Receives the figures.
     * @param run What the run measured.
     */
    private static void writeMetrics(ObjectNode figures, RunMetrics run) {
        figures.put("admissions", run.admissions());
        figures.put("admissionsOverBound", run.admissionsOverBound());
        figures.put("admissionsOverBoundWithUnknownEngines", run.admissionsOverStrictBound());
        figures.put("maxOverMeanP99", run.maxOverMean());
        figures.put("quietWorkspaceP99WaitMillis", run.nonSurgingStartMillis());
        figures.put("ceilingExcess", run.ceilingExcess(CEILING_REQUESTS));
        figures.put("done", run.completed());
        figures.put("refusedNotRun", run.refused());
        figures.put("utilisation", run.meanUtilisation());
        figures.put("reuseRatio", run.reuseRatio());
    }

    /**
     * Plays the turns by one way.
     *
     * @param turns The turns.
     * @param seed The seed.
     * @param rule The simple rule to use, or {@code null} for the daemon's own dispatchers.
     * @return What was measured.
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
        RoutingStrategy way =
                routers == null
                        ? new BaselineStrategy(
                                requireRule(rule), fleet, SimulatedEngine.ROW, ROUTERS, seed)
                        : routers;
        RunMetrics figures =
                new RunMetrics(
                        Set.of("w0", "w1"),
                        Range.closed(
                                SURGE_START_MILLIS, SURGE_START_MILLIS + SURGE_DURATION_MILLIS));
        TurnDriver driver = new TurnDriver(scheduler, fleet, way, SimulatedEngine.ROW, figures);
        driver.schedule(turns);
        driver.schedule(hotChatTurns());
        scheduler.scheduleAt(ZONE_LOSS_START_MILLIS, () -> loseZone(scheduler, fleet, routers));
        scheduler.runUntil(DURATION_MILLIS + DRAIN_MILLIS);
        return figures;
    }

    /**
     * Returns a rule that is given.
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
     * Loses the last zone with its engines and routers for a while.
     *
     * @param scheduler The scheduler.
     * @param fleet The fleet.
     * @param routers The routers, or {@code null} if there are none to lose.
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
