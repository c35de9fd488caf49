package io.chicorytrestle.bench.history;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class HistoryExperimentTest {

    private static final long SEED = 1;

    @ParameterizedTest
    @ValueSource(longs = {7, 1_007, 5_000_017})
    void testRunWhenPartsAreProper(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + 40; seed++) {
            HistoryReport report = HistorySimulation.run(seed, Fault.schedule(seed), Mutation.NONE);
            assertThat("seed " + seed, report.violations(), is(empty()));
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void testRunWhenPartIsFaulty(Mutation mutation) {
        assertThat(HistoryExperiment.historiesUntilFound(mutation, SEED), is(greaterThan(0)));
    }

    @Test
    void testRunWhenSeedIsTheSame() {
        HistoryReport first = HistorySimulation.run(SEED, Fault.schedule(SEED), Mutation.NONE);
        HistoryReport second = HistorySimulation.run(SEED, Fault.schedule(SEED), Mutation.NONE);
        assertThat(first, is(second));
    }
}
