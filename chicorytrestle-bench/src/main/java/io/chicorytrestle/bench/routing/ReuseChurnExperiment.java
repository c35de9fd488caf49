package io.chicorytrestle.bench.routing;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Range;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import io.chicorytrestle.standin.model.EngineProfile;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.io.IOException;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Measures the reuse of cached prompts while engines join, leave and flap. */
public final class ReuseChurnExperiment implements Experiment {

    /** The number of routers. */
    private static final int ROUTERS = 16;

    /** The number of engines. */
    private static final int ENGINES = 6;

    /** The number of availability zones. */
    private static final int ZONES = 3;

    /** The number of workspaces. */
    private static final int WORKSPACES = 10;

    /** The length of a run in milliseconds. */
    private static final long DURATION_MILLIS = 900_000;

    /** The time for the last turns to end in milliseconds. */
    private static final long DRAIN_MILLIS = 60_000;

    /** The time between troubles of engines in milliseconds. */
    private static final long FAULT_INTERVAL_MILLIS = 30_000;

    /** The longest time that an engine is down, draining or off the list, in milliseconds. */
    private static final long MAXIMUM_FAULT_MILLIS = 12_000;

    /** The longest lag of a router's list in milliseconds. */
    private static final long MAXIMUM_LIST_LAG_MILLIS = 5_000;

    /** The bytes of the framing of a message, as an estimate. */
    private static final int MESSAGE_BYTES = 40;

    /** The share of the oracle's reuse that is aimed at. */
    private static final double MINIMUM_REUSE_OVER_ORACLE = 0.98;

    /** The ceiling of each workspace in requests. */
    private static final int CEILING_REQUESTS = 1_000;

    /** The longest queue of each workspace in requests. */
    private static final int QUEUE_REQUESTS = 256;

    /** The turns. */
    private static final TraceSettings TRACE_SETTINGS =
            new TraceSettings(DURATION_MILLIS, 2.4, 6, 30_000, ROUTERS, WORKSPACES, 0.9);

    /** The engines. */
    private static final EngineProfile ENGINE_PROFILE =
            new EngineProfile(16, 8_000, 100, 300_000, 64);

    @Override
    public String name() {
        return "reuse-churn";
    }

    @Override
    public String summary() {
        return "reuse of cached prompts while engines join, leave and flap";
    }

    @Override
    public Report run(ExperimentOptions options) throws IOException {
        List<Turn> turns = TraceGenerator.generate(TRACE_SETTINGS, options.seed());
        RunMetrics routers = simulate(turns, options.seed(), null);
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("seed", options.seed());
        figures.put("turns", turns.size());
        figures.put("reuseRatio", routers.reuseRatio());
        figures.put("maxOverMean", routers.maxOverMean());
        figures.put("admissions", routers.admissions());
        figures.put("admissionsOverBound", routers.admissionsOverBound());
        figures.put("admissionsOverBoundWithUnknownEngines", routers.admissionsOverStrictBound());
        figures.put("done", routers.completed());
        figures.put("refusedNotRun", routers.refused());
        figures.put("waitP99Millis", routers.admissionWaitMillis());
        Map<String, Double> bars = new LinkedHashMap<>();
        bars.put("steward", routers.reuseRatio());
        for (BaselineStrategy.Rule rule : BaselineStrategy.Rule.values()) {
            RunMetrics baseline = simulate(turns, options.seed(), rule);
            bars.put(rule.reportName(), baseline.reuseRatio());
            figures.put(rule.reportName() + "ReuseRatio", baseline.reuseRatio());
            figures.put(rule.reportName() + "MaxOverMean", baseline.maxOverMean());
            figures.put(rule.reportName() + "AdmissionsOverBound", baseline.admissionsOverBound());
        }
        if (options.plot().isPresent()) {
            BarChart.writePng(options.plot().get(), "reuse of earlier turns' tokens", bars);
        }
        double relative = routers.reuseRatio() / figures.get("oracleReuseRatio").asDouble();
        figures.put("reuseOverOracle", relative);
        return new Report(
                figures,
                relative >= MINIMUM_REUSE_OVER_ORACLE && routers.admissionsOverBound() == 0);
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
            List<Turn> turns,
            long seed,
            BaselineStrategy.@org.jspecify.annotations.Nullable Rule rule) {
        VirtualScheduler scheduler = new VirtualScheduler(1);
        SimulatedEngineFleet fleet =
                new SimulatedEngineFleet(
                        scheduler,
                        SimulatedEngineFleet.engines(
                                scheduler, Collections.nCopies(ENGINES, ENGINE_PROFILE), ZONES),
                        MAXIMUM_LIST_LAG_MILLIS,
                        seed);
        RoutingStrategy way =
                rule == null
                        ? new RouterFleet(
                                scheduler,
                                new VirtualNetwork(scheduler, 1, message -> MESSAGE_BYTES),
                                fleet,
                                table(),
                                ROUTERS,
                                ZONES)
                        : new BaselineStrategy(rule, fleet, SimulatedEngine.ROW, ROUTERS, seed);
        TurnDriver driver =
                new TurnDriver(
                        scheduler,
                        fleet,
                        way,
                        SimulatedEngine.ROW,
                        new RunMetrics(Set.of(), Range.closed(0L, DURATION_MILLIS)));
        driver.schedule(turns);
        scheduleFaults(scheduler, fleet, new SplittableRandom(seed + 1));
        scheduler.runUntil(DURATION_MILLIS + DRAIN_MILLIS);
        return driver.metrics();
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

    /**
     * Schedules the troubles of engines.
     *
     * @param scheduler The scheduler.
     * @param fleet The fleet.
     * @param random Draws numbers.
     */
    private static void scheduleFaults(
            VirtualScheduler scheduler, SimulatedEngineFleet fleet, SplittableRandom random) {
        List<EngineFault> troubles = List.of(EngineFault.values());
        for (long atMillis = FAULT_INTERVAL_MILLIS;
                atMillis < DURATION_MILLIS;
                atMillis += FAULT_INTERVAL_MILLIS) {
            SimulatedEngine engine = fleet.engines().get(random.nextInt(ENGINES));
            EngineFault trouble = troubles.get(random.nextInt(troubles.size()));
            long downMillis = MAXIMUM_FAULT_MILLIS / 2 + random.nextLong(MAXIMUM_FAULT_MILLIS / 2);
            scheduler.scheduleAt(
                    atMillis,
                    () -> {
                        trouble.inject(fleet, engine);
                        fleet.publishView();
                        scheduler.scheduleAfter(MAXIMUM_LIST_LAG_MILLIS, engine::excludeFromMeanIfLeaving);
                    });
            scheduler.scheduleAt(
                    atMillis + downMillis,
                    () -> {
                        trouble.recover(fleet, engine);
                        fleet.publishView();
                        scheduler.scheduleAfter(MAXIMUM_LIST_LAG_MILLIS, engine::includeInMean);
                    });
        }
    }
}
