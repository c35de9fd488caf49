package io.chicorytrestle.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class MemberFactTest {

    @Property(tries = 200, seed = "41")
    void testMergeWhenSwapped(@ForAll("facts") MemberFact one, @ForAll("facts") MemberFact two) {
        assertThat(one.merge(two), is(two.merge(one)));
    }

    @Property(tries = 200, seed = "42")
    void testMergeWhenGrouped(
            @ForAll("facts") MemberFact one,
            @ForAll("facts") MemberFact two,
            @ForAll("facts") MemberFact three) {
        assertThat(one.merge(two).merge(three), is(one.merge(two.merge(three))));
    }

    @Property(tries = 200, seed = "43")
    void testMergeWhenRepeated(@ForAll("facts") MemberFact one, @ForAll("facts") MemberFact two) {
        assertThat(one.merge(two).merge(two).merge(one), is(one.merge(two)));
    }

    @Property(tries = 200, seed = "44")
    void testDirectoryWhenNoticesAreShuffledAndRepeated(
            @ForAll("histories") List<MemberFact> facts, @ForAll long shuffle) {
        List<MemberFact> shuffled = new ArrayList<>(facts);
        shuffled.addAll(facts);
        Collections.shuffle(shuffled, new Random(shuffle));
        assertThat(mergedFact(shuffled), is(mergedFact(facts)));
    }

    @Property(tries = 200, seed = "45")
    void testDirectoryWhenNoticesAreLostAndSentAgain(
            @ForAll("histories") List<MemberFact> facts, @ForAll long loss) {
        Random random = new Random(loss);
        List<MemberFact> received =
                new ArrayList<>(facts.stream().filter(fact -> random.nextBoolean()).toList());
        received.add(mergedFact(facts));
        assertThat(mergedFact(received), is(mergedFact(facts)));
    }

    @Property(tries = 200, seed = "46")
    void testDirectoryWhenOlderIncarnationArrivesLater(
            @ForAll("histories") List<MemberFact> facts) {
        long highest =
                facts.stream().mapToLong(fact -> fact.description().incarnation()).max().orElse(0);
        assertThat(mergedFact(facts).description().incarnation(), is(highest));
    }

    private static MemberFact mergedFact(List<MemberFact> facts) {
        MemberDirectory directory = new MemberDirectory();
        facts.forEach(fact -> directory.merge(fact, 100));
        return directory.fact(new MemberKey(false, "engine-1")).orElseThrow();
    }

    @Provide
    Arbitrary<List<MemberFact>> histories() {
        return facts().list().ofMinSize(1).ofMaxSize(12);
    }

    @Provide
    Arbitrary<MemberFact> facts() {
        Arbitrary<Long> times = Arbitraries.longs().between(0, 100);
        Arbitrary<MemberDescription> runs =
                Combinators.combine(
                                Arbitraries.longs().between(0, 3),
                                Arbitraries.of("127.0.0.1", "127.0.0.2"))
                        .as(MemberFactTest::run);
        return Combinators.combine(runs, Arbitraries.of(true, false), times, times, times)
                .as(MemberFact::new);
    }

    private static MemberDescription run(long incarnation, String host) {
        return new MemberDescription(
                MemberKind.ENGINE.number(), "engine-1", incarnation, "palermo", host, 1, "p", 8);
    }
}
