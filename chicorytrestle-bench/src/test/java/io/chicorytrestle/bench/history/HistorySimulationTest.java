package io.chicorytrestle.bench.history;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class HistorySimulationTest {

    @Property(tries = 80, seed = "4711")
    void testRunWhenScheduleIsArbitrary(
            @ForAll("schedules") List<Fault> faults, @ForAll("seeds") long seed) {
        assertThat(HistorySimulation.run(seed, faults, Mutation.NONE).violations(), is(empty()));
    }

    @Provide
    Arbitrary<List<Fault>> schedules() {
        return Combinators.combine(
                        Arbitraries.of(FaultKind.class),
                        Arbitraries.longs().between(500, 20_000),
                        Arbitraries.integers().between(0, 11),
                        Arbitraries.longs().between(1, 15_000))
                .as(Fault::new)
                .list()
                .ofMaxSize(12);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(1, 1_000_000);
    }
}
