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

/**
 * Measures how fast tables come into force at all instances under faults, and checks that no
 * instance reverts to an older table.
 */
public final class TablePropagationExperiment implements Experiment {

    /** The number of entry instances. */
    private static final int DAEMONS = 20;

    /** The number of availability zones. */
    private static final int ZONES = 3;

    /** The number of workspaces in the table. */
    private static final int WORKSPACES = 230;

    /** The number of updates if the options name none. */
    private static final int UPDATES = 520;

    /** The interval between updates in milliseconds. */
    private static final long UPDATE_INTERVAL_MILLIS = 9_000;

    /**
     * The maximum time within which a reachable instance must put a new table into force, in
     * milliseconds.
     */
    private static final long MAXIMUM_PROPAGATION_MILLIS = 7_000;

    /** The interval between checks of all instances in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 10;

    /**
     * The exclusive upper bound of the time from the start of a fault to the update, in
     * milliseconds.
     */
    private static final int MAXIMUM_JITTER_MILLIS = 500;

    /** The duration of a fault in milliseconds. */
    private static final long FAULT_MILLIS = 4_500;

    /** The percentile of the median. */
    private static final double MEDIAN_PERCENTILE = 50;

    /** The number of milliseconds in a second. */
    private static final double SECOND_MILLIS = 1_000;

    @Override
    public String name() {
        return "table-spread";
    }

    @Override
    public String summary() {
        return "propagation of tables under faults, and reversions to older tables";
    }

    @Override
    public Report run(ExperimentOptions options) {
        Simulation simulation = new Simulation(options.seed());
        int updates = options.runs() == 0 ? UPDATES : options.runs();
        long endMillis = simulation.simulate(updates);
        Histogram histogram = simulation.histogram;
        double seconds = (endMillis - ControlFleet.START_MILLIS) / SECOND_MILLIS;
        double watchedSeconds = simulation.fleet.platform().watchedSeconds();
        ObjectNode figures = JsonNodeFactory.instance.objectNode();
        figures.put("experiment", name()).put("seed", options.seed());
        figures.put("daemons", DAEMONS).put("updates", updates);
        figures.put("reversions", simulation.reversions);
        figures.put("servedBelowReachable", simulation.servedBelowZone);
        figures.put("inForceP50Millis", histogram.getValueAtPercentile(MEDIAN_PERCENTILE));
        figures.put("inForceMaxMillis", histogram.getMaxValue());
        figures.put("configReadsPerSecond", watchedSeconds / seconds);
        boolean met =
                simulation.reversions == 0
                        && simulation.servedBelowZone == 0
                        && histogram.getMaxValue() <= MAXIMUM_PROPAGATION_MILLIS;
        return new Report(figures, met);
    }

    /** Enumerates the faults that accompany updates, one after another in this order. */
    private enum Fault {

        /** No fault. */
        NONE,

        /** The configuration service does not respond. */
        DOWN,

        /** The configuration service serves an older table. */
        STALE,

        /** A partition isolates a zone from the other zones and from the platform. */
        PARTITION,

        /** Two instances restart without any state. */
        RESTART,

        /** An instance makes no progress for a while. */
        PAUSE
    }

    /** Simulates the updates and faults of one run and records how tables propagate. */
    private static final class Simulation {

        /** The simulated entry instances and their platform. */
        private final ControlFleet fleet;

        /**
         * The times in milliseconds from when an instance could reach the newest table until it had
         * put it into force. A time beyond the maximum is recorded at every check until the table
         * is in force.
         */
        private final Histogram histogram = new Histogram(3);

        /**
         * The virtual time since which each instance can reach the newest table, by instance
         * number, or {@code -1} once the table is in force there.
         */
        private final Map<Integer, Long> reachableSinceMillis = new HashMap<>();

        /** The version that each incarnation of an instance served with at the last check. */
        private final Map<ControlNode, Long> lastVersions = new HashMap<>();

        /** The instances that were serving at the last check. */
        private final Set<ControlNode> serving = new HashSet<>();

        /** The newest published version of the table. */
        private long newestVersion = 1;

        /** The number of checks at which an instance served with an older table than before. */
        private long reversions;

        /**
         * The number of times an instance began to serve with an older table than all serving
         * instances of its zone.
         */
        private long servedBelowZone;

        /** Whether the configuration service responds with the newest table. */
        private boolean isNewestTableServed = true;

        /** The number of the isolated zone, or {@code -1}. */
        private int isolatedZone = -1;

        /**
         * Creates and starts the fleet.
         *
         * @param seed The seed of all random choices.
         */
        private Simulation(long seed) {
            fleet = new ControlFleet(DAEMONS, ZONES, WORKSPACES, seed);
        }

        /**
         * Simulates updates, each accompanied by a fault.
         *
         * @param updates The number of updates.
         * @return The virtual time at which the simulation ended, in milliseconds.
         */
        private long simulate(int updates) {
            List<Fault> faults = List.of(Fault.values());
            long atMillis = ControlFleet.START_MILLIS + UPDATE_INTERVAL_MILLIS;
            fleet.scheduler()
                    .every(
                            ControlFleet.START_MILLIS + 1,
                            CHECK_INTERVAL_MILLIS,
                            this::checkInstances);
            for (int update = 0; update < updates; update++) {
                Fault fault = faults.get(update % faults.size());
                fleet.scheduler().scheduleAt(atMillis, () -> injectFault(fault));
                fleet.scheduler()
                        .scheduleAt(
                                atMillis + fleet.random().nextInt(MAXIMUM_JITTER_MILLIS),
                                this::publish);
                fleet.scheduler().scheduleAt(atMillis + FAULT_MILLIS, this::heal);
                atMillis += UPDATE_INTERVAL_MILLIS;
            }
            fleet.scheduler().runUntil(atMillis + MAXIMUM_PROPAGATION_MILLIS);
            return atMillis + MAXIMUM_PROPAGATION_MILLIS;
        }

        /** Publishes the next table, from which on the propagation time is measured. */
        private void publish() {
            newestVersion = fleet.platform().publish();
            reachableSinceMillis.clear();
        }

        /**
         * Starts a fault at a random target.
         *
         * @param fault The fault.
         */
        private void injectFault(Fault fault) {
            int targetNumber = fleet.random().nextInt(DAEMONS);
            switch (fault) {
                case DOWN -> degrade(true, 0);
                case STALE -> degrade(false, 2);
                case PARTITION -> {
                    isolatedZone = fleet.random().nextInt(ZONES);
                    fleet.setZoneIsolated(isolatedZone, true);
                }
                case RESTART -> {
                    fleet.restart(targetNumber);
                    fleet.restart((targetNumber + 1) % DAEMONS);
                }
                case PAUSE -> fleet.pause(targetNumber, FAULT_MILLIS);
                default -> {
                    /* NONE injects nothing. */
                }
            }
        }

        /**
         * Degrades the configuration service until {@link #heal()} is called.
         *
         * @param isDown {@code true} if it does not respond.
         * @param versionsBehind The number of versions by which the served table is older than the
         *     newest.
         */
        private void degrade(boolean isDown, int versionsBehind) {
            fleet.platform().degradeConfiguration(isDown, versionsBehind);
            isNewestTableServed = false;
        }

        /** Ends all faults except pauses, which end by themselves. */
        private void heal() {
            fleet.platform().degradeConfiguration(false, 0);
            isNewestTableServed = true;
            if (isolatedZone >= 0) {
                fleet.setZoneIsolated(isolatedZone, false);
                isolatedZone = -1;
            }
        }

        /**
         * Checks the versions of all serving instances, and records the propagation time of those
         * that can reach the newest table.
         */
        private void checkInstances() {
            for (int number = 0; number < DAEMONS; number++) {
                ControlNode node = fleet.nodes().get(number);
                if (node.isServing()) {
                    checkVersion(node);
                } else {
                    serving.remove(node);
                }
                boolean isIsolated =
                        isolatedZone >= 0
                                && node.identity().zone().equals(fleet.zoneName(isolatedZone));
                if (!node.isRunning() || !isNewestTableServed || isIsolated) {
                    reachableSinceMillis.remove(number);
                    continue;
                }
                long nowMillis = fleet.scheduler().nowMillis();
                long sinceMillis =
                        reachableSinceMillis.computeIfAbsent(number, ignored -> nowMillis);
                if (sinceMillis >= 0 && node.tableVersion() >= newestVersion) {
                    histogram.recordValue(nowMillis - sinceMillis);
                    reachableSinceMillis.put(number, -1L);
                } else if (sinceMillis >= 0
                        && nowMillis - sinceMillis > MAXIMUM_PROPAGATION_MILLIS) {
                    histogram.recordValue(nowMillis - sinceMillis);
                }
            }
        }

        /**
         * Counts a reversion, or a start of service below the tables of the zone.
         *
         * @param node The serving instance.
         */
        private void checkVersion(ControlNode node) {
            Long previous = lastVersions.put(node, node.tableVersion());
            if (previous != null && previous > node.tableVersion()) {
                reversions++;
            }
            if (serving.add(node) && node.tableVersion() < lowestZoneVersion(node)) {
                servedBelowZone++;
            }
        }

        /**
         * Returns the lowest version with which the other instances of an instance's zone serve.
         *
         * @param node The instance.
         * @return The lowest version, or zero if no other instance of the zone serves.
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
