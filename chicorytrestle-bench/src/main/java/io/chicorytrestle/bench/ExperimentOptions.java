package io.chicorytrestle.bench;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The options that are common to all experiments.
 *
 * @param seed The seed of all random choices.
 * @param runs The number of runs, or zero for the experiment's default.
 * @param scale The size of the system under test.
 * @param plot The file to write a plot to in PNG format, or empty for no plot.
 */
public record ExperimentOptions(long seed, int runs, Scale scale, Optional<Path> plot) {

    /** Enumerates the sizes of the system under test. */
    public enum Scale {

        /** The current size. */
        TODAY,

        /** The size of the two-year target. */
        TARGET
    }
}
