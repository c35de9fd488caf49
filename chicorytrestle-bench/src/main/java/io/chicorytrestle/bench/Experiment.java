package io.chicorytrestle.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An experiment that measures one property of the system and reports it as a JSON object. */
public interface Experiment {

    /**
     * Returns the name of this experiment on the command line.
     *
     * @return The name in lower case with hyphens.
     */
    String name();

    /**
     * Returns a summary of what this experiment measures.
     *
     * @return One line for the usage text.
     */
    String summary();

    /**
     * Runs this experiment.
     *
     * @param options The options of the run.
     * @return The measured figures and whether the aims were met.
     * @throws Exception If the experiment could not be run.
     */
    Report run(ExperimentOptions options) throws Exception;

    /**
     * The result of an experiment.
     *
     * @param figures The figures by name.
     * @param aimsMet Whether all figures are within the experiment's limits.
     */
    record Report(ObjectNode figures, boolean aimsMet) {}
}
