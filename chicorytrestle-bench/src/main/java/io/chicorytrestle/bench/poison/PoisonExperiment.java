package io.chicorytrestle.bench.poison;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.bench.history.SimulatedEndpoints;
import io.chicorytrestle.bench.history.PoisonHistory;

/** Counts the engines that a request crashes before it is refused, and innocents refused. */
public final class PoisonExperiment implements Experiment {

    /** The histories that are run by default. */
    private static final int DEFAULT_RUNS = 100;

    /** The requests that crash engines in each history. */
    private static final int POISON_REQUESTS = 3;

    /** The most engines that one request may crash. */
    private static final int MAXIMUM_CRASHES = 2;

    /** Creates figures. */
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Override
    public String name() {
        return "poison";
    }

    @Override
    public String summary() {
        return "Counts engines crashed by one request, and innocent requests refused.";
    }

    @Override
    public Report run(ExperimentOptions options) {
        int runs = options.runs() == 0 ? DEFAULT_RUNS : options.runs();
        int crashes = 0;
        int crashesPerPoison = 0;
        int innocentsRefused = 0;
        int poisonRefused = 0;
        for (int index = 0; index < runs; index++) {
            SimulatedEndpoints farm = PoisonHistory.run(options.seed() + index, POISON_REQUESTS);
            for (int count : farm.crashesByPrompt().values()) {
                crashes += count;
                crashesPerPoison = Math.max(crashesPerPoison, count);
            }
            innocentsRefused += farm.quarantineRefusals(false);
            poisonRefused += farm.quarantineRefusals(true);
        }
        ObjectNode figures = MAPPER.createObjectNode();
        figures.put("histories", runs);
        figures.put("poisons", runs * POISON_REQUESTS);
        figures.put("crashes", crashes);
        figures.put("crashesPerPoison", crashesPerPoison);
        figures.put("poisonRefused", poisonRefused);
        figures.put("innocentsRefused", innocentsRefused);
        return new Report(figures, crashesPerPoison <= MAXIMUM_CRASHES && innocentsRefused == 0);
    }
}
