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

/** Checks histories of concurrent runs under faults, and that the checks find faulty parts. */
public final class HistoryExperiment implements Experiment {

    /** The histories that are run by default. */
    private static final int DEFAULT_RUNS = 1_000;

    /** The most histories that are run to find a faulty part. */
    private static final int MAXIMUM_MUTANT_RUNS = 400;

    /** The most failing histories that are described. */
    private static final int MAXIMUM_DESCRIBED_FAILURES = 20;

    /** The figure of histories with faults of several kinds. */
    private static final String MIXED_FAULTS = "MIXED";

    /** Creates figures. */
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Override
    public String name() {
        return "history";
    }

    @Override
    public String summary() {
        return "Checks verdicts, at most once, whole answers and shutdown under faults.";
    }

    @Override
    public Report run(ExperimentOptions options) throws Exception {
        int runs = options.runs() == 0 ? DEFAULT_RUNS : options.runs();
        HistoryTotals tally = new HistoryTotals();
        for (int index = 0; index < runs; index++) {
            long seed = options.seed() + index;
            List<Fault> faults = Fault.schedule(seed);
            tally.addHistory(seed, faults, HistorySimulation.run(seed, faults, Mutation.NONE));
        }
        ObjectNode figures = tally.toJson(runs);
        ObjectNode mutants = figures.putObject("mutants");
        int found = 0;
        int tried = 0;
        for (Mutation mutation : Mutation.values()) {
            if (mutation != Mutation.NONE) {
                tried++;
                int histories = historiesUntilFound(mutation, options.seed());
                found += histories > 0 ? 1 : 0;
                mutants.put(mutation.name(), histories);
            }
        }
        figures.put("mutantsTried", tried);
        figures.put("mutantsFound", found);
        saveFailures(tally.failures);
        return new Report(figures, tally.failures.isEmpty() && found == tried);
    }

    /**
     * Runs histories with a faulty part until a promise is broken.
     *
     * @param mutation The faulty part.
     * @param firstSeed The first seed.
     * @return The histories that were run until the fault was found, or zero if it was not.
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
     * Saves failing histories, each with the command that runs it again.
     *
     * @param failures The failing histories.
     * @throws Exception If a file cannot be written.
     */
    private static void saveFailures(List<String> failures) throws Exception {
        if (!failures.isEmpty()) {
            Path file = Files.createTempFile("chicorytrestle-history-", ".txt");
            Files.write(file, failures);
            System.err.println("Failing histories are described in: " + file);
        }
    }

    /** Adds up what histories showed. */
    private static final class HistoryTotals {

        /** The failing histories. */
        private final List<String> failures = new ArrayList<>();

        /** The violations by promise. */
        private final Map<Violation.Guarantee, Integer> violations =
                new EnumMap<>(Violation.Guarantee.class);

        /** The faults by kind. */
        private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);

        /** The operations that are not idempotent, by the kind of faults in their history. */
        private final Map<String, Integer> nonIdempotent = new TreeMap<>();

        /** The operations that ended in doubt, by the kind of faults in their history. */
        private final Map<String, Integer> inDoubt = new TreeMap<>();

        /** The operations. */
        private int operations;

        /**
         * Adds a history.
         *
         * @param seed The seed.
         * @param schedule The faults.
         * @param report What the history showed.
         */
        private void addHistory(long seed, List<Fault> schedule, HistoryReport report) {
            operations += report.operations();
            schedule.forEach(fault -> faults.merge(fault.kind(), 1, Integer::sum));
            boolean pure = schedule.stream().map(Fault::kind).distinct().count() == 1;
            String kind = pure ? schedule.get(0).kind().name() : MIXED_FAULTS;
            nonIdempotent.merge(kind, report.nonIdempotent(), Integer::sum);
            inDoubt.merge(kind, report.inDoubt(), Integer::sum);
            report.violations()
                    .forEach(violation -> violations.merge(violation.guarantee(), 1, Integer::sum));
            if (!report.violations().isEmpty() && failures.size() < MAXIMUM_DESCRIBED_FAILURES) {
                failures.add(
                        "bin/chicorytrestle-bench history --seed %d --runs 1 # %s %s"
                                .formatted(seed, schedule, report.violations()));
            }
        }

        /**
         * Returns the figures.
         *
         * @param histories The number of histories.
         * @return The figures.
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
