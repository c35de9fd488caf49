package io.chicorytrestle.bench.history;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks random histories of concurrent requests under injected faults, and verifies that the
 * checks detect each faulty component.
 */
public final class HistoryExperiment implements Experiment {

    /** The number of histories to run if the options name none. */
    private static final int DEFAULT_RUNS = 1_000;

    /** The maximum number of histories to run until a faulty component is detected. */
    private static final int MAXIMUM_MUTANT_RUNS = 400;

    /** The maximum number of failing histories that are described in the file. */
    private static final int MAXIMUM_DESCRIBED_FAILURES = 20;

    /** The key in the report for histories with several kinds of faults. */
    private static final String MIXED_FAULTS = "MIXED";

    /** Creates the JSON nodes of the report. */
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Override
    public String name() {
        return "history";
    }

    @Override
    public String summary() {
        return "Checks verdicts, at-most-once runs, complete responses and shutdown under faults.";
    }

    @Override
    public Report run(ExperimentOptions options) throws Exception {
        int runs = options.runs() == 0 ? DEFAULT_RUNS : options.runs();
        HistoryTotals totals = new HistoryTotals();
        for (int index = 0; index < runs; index++) {
            long seed = options.seed() + index;
            List<Fault> faults = Fault.schedule(seed);
            totals.addHistory(seed, faults, HistorySimulation.run(seed, faults, Mutation.NONE));
        }
        ObjectNode figures = totals.toJson(runs);
        ObjectNode mutants = figures.putObject("mutants");
        int detected = 0;
        int mutationCount = 0;
        for (Mutation mutation : Mutation.values()) {
            if (mutation != Mutation.NONE) {
                mutationCount++;
                int histories = historiesUntilFound(mutation, options.seed());
                detected += histories > 0 ? 1 : 0;
                mutants.put(mutation.name(), histories);
            }
        }
        figures.put("mutantsTried", mutationCount);
        figures.put("mutantsFound", detected);
        saveFailures(totals.failures);
        return new Report(figures, totals.failures.isEmpty() && detected == mutationCount);
    }

    /**
     * Runs histories with a faulty component until a guarantee is violated.
     *
     * @param mutation The faulty component.
     * @param firstSeed The seed of the first history; each further history increments it.
     * @return The number of histories run until the first violation, or zero if none was found.
     */
    static int historiesUntilFound(Mutation mutation, long firstSeed) {
        for (int index = 0; index < MAXIMUM_MUTANT_RUNS; index++) {
            long seed = firstSeed + index;
            HistoryReport report = HistorySimulation.run(seed, Fault.schedule(seed), mutation);
            if (!report.violations().isEmpty()) {
                return index + 1;
            }
        }
        return 0;
    }

    /**
     * Writes failing histories, each with the command that reproduces it, to a temporary file and
     * prints its path. Does nothing if there are none.
     *
     * @param failures The descriptions of failing histories, one per line.
     * @throws Exception If a file cannot be written.
     */
    private static void saveFailures(List<String> failures) throws Exception {
        if (!failures.isEmpty()) {
            Path file = Files.createTempFile("chicorytrestle-history-", ".txt");
            Files.write(file, failures);
            System.err.println("Failing histories are described in: " + file);
        }
    }

    /** Adds up the results of histories. */
    private static final class HistoryTotals {

        /** The descriptions of failing histories, each with the command that reproduces it. */
        private final List<String> failures = new ArrayList<>();

        /** The number of violations by guarantee. */
        private final Map<Violation.Guarantee, Integer> violations =
                new EnumMap<>(Violation.Guarantee.class);

        /** The number of injected faults by kind. */
        private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);

        /** The number of non-idempotent operations, by the kind of faults in their history. */
        private final Map<String, Integer> nonIdempotent = new TreeMap<>();

        /**
         * The number of operations with an unknown outcome, by the kind of faults in their history.
         */
        private final Map<String, Integer> inDoubt = new TreeMap<>();

        /** The number of operations in all histories. */
        private int operations;

        /**
         * Adds the result of a history.
         *
         * @param seed The seed of the history, for the command that reproduces it.
         * @param schedule The injected faults, which must not be empty.
         * @param report The result of the history.
         */
        private void addHistory(long seed, List<Fault> schedule, HistoryReport report) {
            operations += report.operations();
            schedule.forEach(fault -> faults.merge(fault.kind(), 1, Integer::sum));
            boolean singleKind = schedule.stream().map(Fault::kind).distinct().count() == 1;
            String kind = singleKind ? schedule.get(0).kind().name() : MIXED_FAULTS;
            nonIdempotent.merge(kind, report.nonIdempotent(), Integer::sum);
            inDoubt.merge(kind, report.inDoubt(), Integer::sum);
            report.violations()
                    .forEach(violation -> violations.merge(violation.promise(), 1, Integer::sum));
            if (!report.violations().isEmpty() && failures.size() < MAXIMUM_DESCRIBED_FAILURES) {
                failures.add(
                        "bin/chicorytrestle-bench history --seed %d --runs 1 # %s %s"
                                .formatted(seed, schedule, report.violations()));
            }
        }

        /**
         * Writes the totals as JSON.
         *
         * @param histories The number of histories that were run.
         * @return A new object with one entry per figure.
         */
        private ObjectNode toJson(int histories) {
            ObjectNode figures = MAPPER.createObjectNode();
            figures.put("histories", histories);
            figures.put("operations", operations);
            ObjectNode injected = figures.putObject("faultsInjected");
            faults.forEach((kind, count) -> injected.put(kind.name(), count));
            for (Violation.Guarantee promise : Violation.Guarantee.values()) {
                figures.put(promise.metricName(), violations.getOrDefault(promise, 0));
            }
            ObjectNode shares = figures.putObject("mayHaveRunShare");
            nonIdempotent.forEach(
                    (kind, count) ->
                            shares.put(kind, (double) inDoubt.getOrDefault(kind, 0) / count));
            return figures;
        }
    }
}
