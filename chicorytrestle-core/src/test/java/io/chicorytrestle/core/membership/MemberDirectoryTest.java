package io.chicorytrestle.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MemberDirectoryTest {

    private final MemberDirectory directory = new MemberDirectory();

    @Test
    void testMergeListWhenMemberIsMissingForLong() {
        List<MemberFact> list = facts(4);
        directory.mergeList(list, 1_000);
        directory.mergeList(list.subList(0, 3), 2_000);
        assertThat(directory.fact(list.get(3).key()).orElseThrow().isMissing(), is(false));
        directory.mergeList(list.subList(0, 3), 20_000);
        assertThat(directory.fact(list.get(3).key()).orElseThrow().isMissing(), is(true));
        directory.mergeList(list, 30_000);
        assertThat(directory.fact(list.get(3).key()).orElseThrow().isMissing(), is(false));
    }

    @Test
    void testMergeListWhenListIsEmpty() {
        directory.mergeList(facts(4), 1_000);
        assertThat(directory.mergeList(List.of(), 20_000).size(), is(0));
    }

    @Test
    void testMergeListWhenListLagsBehindOlderIncarnation() {
        MemberFact older = facts(1).get(0);
        MemberFact newer = MemberFact.of(older.description().withIncarnation(5), false);
        directory.merge(newer, 1_000);
        directory.mergeList(List.of(older.withLeaving()), 20_000);
        assertThat(directory.fact(older.key()).orElseThrow(), is(newer));
    }

    @Test
    void testMergeListWhenListRevokesLeaving() {
        List<MemberFact> list = facts(1);
        directory.mergeList(List.of(list.get(0).withLeaving()), 1_000);
        directory.mergeList(list, 2_000);
        assertThat(directory.fact(list.get(0).key()).orElseThrow().leaving(), is(true));
    }

    @Test
    void testExpireWhenMemberIsMissingForVeryLong() {
        MemberFact fact = facts(1).get(0).withMissing(1_000);
        directory.merge(fact, 1_000);
        directory.expire(600_000);
        assertThat(directory.records().size(), is(1));
        directory.expire(601_001);
        assertThat(directory.records().size(), is(0));
    }

    private static List<MemberFact> facts(int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        index ->
                                new MemberDescription(
                                        MemberKind.SERVICE.number(),
                                        "registry-" + index,
                                        1,
                                        "nazas",
                                        "127.0.0.1",
                                        index,
                                        "registry",
                                        4))
                .map(description -> MemberFact.of(description, false))
                .toList();
    }
}
