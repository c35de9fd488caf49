package io.chicorytrestle.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ViewBuilderTest {

    private static final long NOW = 100_000;

    @Test
    void testBuildWhenOneEndpointFailed() {
        assertThat(countAccepting(3, 1), is(2));
    }

    @Test
    void testBuildWhenNearlyAllEndpointsFailed() {
        assertThat(countAccepting(6, 5), is(6));
    }

    @Test
    void testBuildWhenFailedEndpointIsLeaving() {
        MemberFact fact = fact("engine-1").withFailure(NOW).withLeaving();
        MembershipView view = view(List.of(MemberRecord.of(fact, NOW)), NOW);
        assertThat(view.endpoints().get(0).state(), is(EndpointState.LEAVING));
    }

    @Test
    void testBuildWhenHoldDownExpires() {
        List<MemberRecord> records = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            records.add(MemberRecord.of(fact("engine-" + index), NOW));
        }
        records.set(0, records.get(0).merge(records.get(0).fact().withFailure(NOW), NOW));
        assertThat(view(records, NOW + 1_999).acceptingEndpoints("permits").size(), is(2));
        assertThat(view(records, NOW + 2_000).acceptingEndpoints("permits").size(), is(3));
    }

    @Test
    void testBuildWhenEndpointFlaps() {
        MemberRecord record = MemberRecord.of(fact("engine-1"), NOW);
        for (int start = 1; start <= 4; start++) {
            MemberDescription run = record.fact().description().withIncarnation(start);
            record = record.merge(MemberFact.of(run, false), NOW + start);
        }
        assertThat(record.state(NOW + 7_000), is(EndpointState.SUSPECT));
        assertThat(record.state(NOW + 20_000), is(EndpointState.LIVE));
    }

    @Test
    void testBuildWhenMissingButAnswering() {
        MemberRecord record = MemberRecord.of(fact("engine-1").withMissing(NOW), NOW);
        assertThat(record.state(NOW), is(EndpointState.GONE));
        assertThat(record.withSuccess(NOW).state(NOW), is(EndpointState.LIVE));
    }

    private static int countAccepting(int endpoints, int failed) {
        List<MemberRecord> records = new ArrayList<>();
        for (int index = 0; index < endpoints; index++) {
            MemberFact fact = fact("engine-" + index);
            records.add(MemberRecord.of(index < failed ? fact.withFailure(NOW) : fact, NOW));
        }
        return view(records, NOW).acceptingEndpoints("permits").size();
    }

    private static MembershipView view(List<MemberRecord> records, long nowMillis) {
        return ViewBuilder.INSTANCE.build(1, "entry-1", records, nowMillis);
    }

    private static MemberFact fact(String name) {
        return MemberFact.of(
                new MemberDescription(
                        MemberKind.ENGINE.number(), name, 0, "bravo", "127.0.0.1", 1, "permits", 8),
                false);
    }
}
