package io.chicorytrestle.bench.poison;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.Experiment;
import io.chicorytrestle.bench.ExperimentOptions;
import io.chicorytrestle.bench.history.PoisonHistory;
import io.chicorytrestle.bench.history.SimulatedEndpoints;

/**
 * Counts how many engines one poison request crashes before it is refused, and how many harmless
 * requests are refused with it.
 */
public final class PoisonExperiment implements Experiment {

    /** The number of histories to run if the options name none. */
    private static final int DEFAULT_RUNS = 100;

    /** The number of requests in each history that crash engines. */
    private static final int POISON_REQUESTS = 3;

    /** The maximum number of engines that one request may crash. */
    private static final int MAXIMUM_CRASHES = 2;

    /** Creates the JSON nodes of the report. */
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Override
    public String name() {
        return "poison";
    }

    @Override
    public String summary() {
        return "Counts engines crashed by one request, and harmless requests refused.";
    }

    @Override
    public Report run(ExperimentOptions options) {
        int runs = options.runs() == 0 ? DEFAULT_RUNS : options.runs();
        int crashes = 0;
        int maximumCrashes = 0;
        int harmlessRefused = 0;
        int poisonRefused = 0;
        for (int index = 0; index < runs; index++) {
            SimulatedEndpoints endpoints =
                    PoisonHistory.run(options.seed() + index, POISON_REQUESTS);
            for (int count : endpoints.crashesByPrompt().values()) {
                crashes += count;
                maximumCrashes = Math.max(maximumCrashes, count);
            }
            harmlessRefused += endpoints.quarantineRefusals(false);
            poisonRefused += endpoints.quarantineRefusals(true);
        }
        ObjectNode figures = MAPPER.createObjectNode();
        figures.put("histories", runs);
        figures.put("poisons", runs * POISON_REQUESTS);
        figures.put("crashes", crashes);
        figures.put("crashesPerPoison", maximumCrashes);
        figures.put("poisonRefused", poisonRefused);
        figures.put("innocentsRefused", harmlessRefused);
        return new Report(figures, maximumCrashes <= MAXIMUM_CRASHES && harmlessRefused == 0);
    }
}
