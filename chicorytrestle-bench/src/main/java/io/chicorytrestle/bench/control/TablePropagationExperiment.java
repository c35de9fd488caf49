package io.chicorytrestle.bench.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Measures how fast tables are in force everywhere under faults, and that none goes back. */
public final class TablePropagationExperiment implements Experiment {

    /** The daemons. */
    private static final int DAEMONS = 20;

    /** The availability zones. */
    private static final int ZONES = 3;

    /** The workspaces of the table. */
    private static final int WORKSPACES = 230;

    /** The updates of a run. */
    private static final int UPDATES = 520;

    /** The time between updates in milliseconds. */
    private static final long UPDATE_INTERVAL_MILLIS = 9_000;

    /** The longest time until a table has to be in force, in milliseconds. */
    private static final long MAXIMUM_PROPAGATION_MILLIS = 7_000;

    /** The time between looks at all instances in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 10;

    /** The longest time from the begin of a fault to the update in milliseconds. */
    private static final int MAXIMUM_JITTER_MILLIS = 500;

    /** The length of a fault in milliseconds. */
    private static final long FAULT_MILLIS = 4_500;

    /** The percentile of the middle. */
    private static final double MEDIAN_PERCENTILE = 50;

    /** The milliseconds of a second. */
    private static final double SECOND_MILLIS = 1_000;

    @Override
    public String name() {
        return "table-spread";
    }

    @Override
    public String summary() {
        return "tables in force everywhere under faults, and none going back";
    }

    @Override
    public Report run(ExperimentOptions options) {
        Simulation run = new Simulation(options.seed());
        int updates = options.runs() == 0 ? UPDATES : options.runs();
        long end = run.simulate(updates);
        Histogram histogram = run.histogram;
        double seconds = (end - ControlFleet.START_MILLIS) / SECOND_MILLIS;
        double watched = run.fleet.platform().watchedSeconds();
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("experiment", name()).put("seed", options.seed());
        figures.put("daemons", DAEMONS).put("updates", updates);
        figures.put("reversions", run.reversions);
        figures.put("servedBelowReachable", run.servedBelowZone);
        figures.put("inForceP50Millis", histogram.getValueAtPercentile(MEDIAN_PERCENTILE));
        figures.put("inForceMaxMillis", histogram.getMaxValue());
        figures.put("configReadsPerSecond", watched / seconds);
        boolean met =
                run.reversions == 0
                        && run.servedBelowZone == 0
                        && histogram.getMaxValue() <= MAXIMUM_PROPAGATION_MILLIS;
        return new Report(figures, met);
    }

    /** Enumerates the faults that accompany updates in turn. */
    private enum Fault {

        /** Nothing fails. */
        NONE,

        /** The configuration service is down. */
        DOWN,

        /** The configuration service shows an older table. */
        STALE,

        /** A zone is cut off from the others and from the platform. */
        PARTITION,

        /** Two instances are restarted. */
        RESTART,

        /** An instance stands still for a while. */
        PAUSE
    }

    /** Plays one run. */
    private static final class Simulation {

        /** The fleet. */
        private final ControlFleet fleet;

        /** The times from publishing until a table was in force at an instance. */
        private final Histogram histogram = new Histogram(3);

        /** The time at which each instance could first reach the newest table, by number. */
        private final Map<Integer, Long> reachableSinceMillis = new HashMap<>();

        /** The highest version that each run of an instance served under. */
        private final Map<ControlNode, Long> highestVersions = new HashMap<>();

        /** The instances that served at the last look. */
        private final Set<ControlNode> serving = new HashSet<>();

        /** The newest version. */
        private long newestVersion = 1;

        /** The steps at which an instance served under an older table than it did before. */
        private long reversions;

        /**
         * The times at which an instance began to serve under an older table than all neighbours.
         */
        private long servedBelowZone;

        /** Whether the configuration service shows the newest table. */
        private boolean isNewestTableServed = true;

        /** The zone that is cut off, or {@code -1}. */
        private int isolatedZone = -1;

        /**
         * Creates a new run.
         *
         * @param seed The seed of random choices.
         */
        private Simulation(long seed) {
            fleet = new ControlFleet(DAEMONS, ZONES, WORKSPACES, seed);
        }

        /**
         * Plays updates, each with a fault.
         *
         * @param updates The number of updates.
         * @return The virtual time of the end in milliseconds.
         */
        private long simulate(int updates) {
            List<Fault> faults = List.of(Fault.values());
            long at = ControlFleet.START_MILLIS + UPDATE_INTERVAL_MILLIS;
            fleet.scheduler()
                    .scheduleRepeating(
                            ControlFleet.START_MILLIS + 1,
                            CHECK_INTERVAL_MILLIS,
                            this::checkInstances);
            for (int update = 0; update < updates; update++) {
                Fault kind = faults.get(update % faults.size());
                fleet.scheduler().scheduleAt(at, () -> injectFault(kind));
                fleet.scheduler()
                        .scheduleAt(at + fleet.random().nextInt(MAXIMUM_JITTER_MILLIS), this::publish);
                fleet.scheduler().scheduleAt(at + FAULT_MILLIS, this::heal);
                at += UPDATE_INTERVAL_MILLIS;
            }
            fleet.scheduler().runUntil(at + MAXIMUM_PROPAGATION_MILLIS);
            return at + MAXIMUM_PROPAGATION_MILLIS;
        }

        /** Publishes the next table. */
        private void publish() {
            newestVersion = fleet.platform().publish();
            reachableSinceMillis.clear();
        }

        /**
         * Begins a fault.
         *
         * @param kind The kind of fault.
         */
        private void injectFault(Fault kind) {
            int victim = fleet.random().nextInt(DAEMONS);
            switch (kind) {
                case DOWN -> degrade(true, 0);
                case STALE -> degrade(false, 2);
                case PARTITION -> {
                    isolatedZone = fleet.random().nextInt(ZONES);
                    fleet.setZoneIsolated(isolatedZone, true);
                }
                case RESTART -> {
                    fleet.restart(victim);
                    fleet.restart((victim + 1) % DAEMONS);
                }
                case PAUSE -> fleet.pause(victim, FAULT_MILLIS);
                default -> {
                    /* no fault */
                }
            }
        }

        /**
         * Degrades the configuration service.
         *
         * @param isDown {@code true} if it does not answer.
         * @param tablesBack How many tables back it is.
         */
        private void degrade(boolean isDown, int tablesBack) {
            fleet.platform().degradeConfiguration(isDown, tablesBack);
            isNewestTableServed = false;
        }

        /** Ends all faults but pauses, which end by themselves. */
        private void heal() {
            fleet.platform().degradeConfiguration(false, 0);
            isNewestTableServed = true;
            if (isolatedZone >= 0) {
                fleet.setZoneIsolated(isolatedZone, false);
                isolatedZone = -1;
            }
        }

        /** Looks at all instances. */
        private void checkInstances() {
            for (int number = 0; number < DAEMONS; number++) {
                ControlNode node = fleet.nodes().get(number);
                if (node.isServing()) {
                    checkVersion(node);
                } else {
                    serving.remove(node);
                }
                boolean isCut =
                        isolatedZone >= 0
                                && node.identity().zone().equals(fleet.zoneName(isolatedZone));
                if (!node.isRunning() || !isNewestTableServed || isCut) {
                    reachableSinceMillis.remove(number);
                    continue;
                }
                long nowMillis = fleet.scheduler().nowMillis();
                long since = reachableSinceMillis.computeIfAbsent(number, ignored -> nowMillis);
                if (since >= 0 && node.tableVersion() >= newestVersion) {
                    histogram.recordValue(nowMillis - since);
                    reachableSinceMillis.put(number, -1L);
                } else if (since >= 0 && nowMillis - since > MAXIMUM_PROPAGATION_MILLIS) {
                    histogram.recordValue(nowMillis - since);
                }
            }
        }

        /**
         * Checks the version that an instance serves under.
         *
         * @param node The instance.
         */
        private void checkVersion(ControlNode node) {
            Long before = highestVersions.put(node, node.tableVersion());
            if (before != null && before > node.tableVersion()) {
                reversions++;
            }
            if (serving.add(node) && node.tableVersion() < lowestZoneVersion(node)) {
                servedBelowZone++;
            }
        }

        /**
         * Returns the lowest version that an instance's neighbours serve under.
         *
         * @param node The instance.
         * @return The lowest version, or zero if no neighbour serves.
         */
        private long lowestZoneVersion(ControlNode node) {
            return fleet.nodes().stream()
                    .filter(other -> other != node && other.isServing())
                    .filter(other -> other.identity().zone().equals(node.identity().zone()))
                    .mapToLong(ControlNode::tableVersion)
                    .min()
                    .orElse(0);
        }
    }
}
