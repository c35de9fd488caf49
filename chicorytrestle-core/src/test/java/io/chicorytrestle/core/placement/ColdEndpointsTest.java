package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import io.chicorytrestle.core.fleet.StorePosition;
import java.util.List;
import org.junit.jupiter.api.Test;

class ColdEndpointsTest {

    private static final String INCARNATION = Endpoints.ready("1", "a").incarnation();

    private static final long WARM_UP_MILLIS = 3_000;

    private final ColdEndpoints coldEndpoints = new ColdEndpoints();

    @Test
    void testColdUntilMillisWhenTheEndpointJoins() {
        coldEndpoints.recordListed(INCARNATION, false, 100);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 5), 0), 100);

        assertThat(untilMillis(), equalTo(3_100L));
    }

    @Test
    void testColdUntilMillisWhenTheEntryOfAKnownEndpointLapses() {
        coldEndpoints.recordListed(INCARNATION, false, 100);
        coldEndpoints.recordListed(INCARNATION, false, 60_000);

        assertThat(untilMillis(), equalTo(3_100L));
    }

    @Test
    void testColdUntilMillisWhenTheFirstListIsReceived() {
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 5), 0), 100);
        coldEndpoints.record(new ColdReport("other", new StorePosition(0, 5), 2_000), 100);
        coldEndpoints.recordListed(INCARNATION, true, 100);
        coldEndpoints.recordListed("silent", true, 100);

        assertThat(untilMillis(), equalTo(100L));
        assertThat(coldEndpoints.coldUntilMillis("other", WARM_UP_MILLIS), equalTo(2_100L));
        assertThat(coldEndpoints.coldUntilMillis("silent", WARM_UP_MILLIS), equalTo(3_100L));
    }

    @Test
    void testRecordWhenAnOlderEntryArrivesLater() {
        coldEndpoints.recordListed(INCARNATION, true, 0);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 7), 2_000), 60_000);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 5), 0), 60_100);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 7), 2_000), 61_000);

        assertThat(untilMillis(), equalTo(62_000L));
    }

    @Test
    void testRecordWhenStoreIsRestored() {
        coldEndpoints.recordListed(INCARNATION, true, 0);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(1, 7), 0), 60_000);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(2, 5), 2_000), 60_100);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(1, 9), 0), 60_200);

        assertThat(untilMillis(), equalTo(62_100L));
    }

    @Test
    void testRecordWhenTheEndpointTurnsColdAgain() {
        coldEndpoints.recordListed(INCARNATION, false, 0);
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 7), 2_500), 60_000);

        assertThat(untilMillis(), equalTo(62_500L));
        assertThat(
                coldEndpoints.evidence(INCARNATION, 61_000), equalTo(ColdEndpoints.Evidence.ENTRY));
        assertThat(
                coldEndpoints.reports(61_000),
                contains(new ColdReport(INCARNATION, new StorePosition(0, 7), 1_500)));
    }

    @Test
    void testRemoveExpiredWhenTheEndpointIsGone() {
        coldEndpoints.record(new ColdReport(INCARNATION, new StorePosition(0, 7), 2_500), 0);
        coldEndpoints.removeExpired(List.of(Endpoints.ready("1", "a")), 599_999);
        coldEndpoints.removeExpired(List.of(), 1_199_998);
        assertThat(coldEndpoints.reports(1_199_998).size(), equalTo(1));

        coldEndpoints.removeExpired(List.of(), 1_199_999);
        assertThat(coldEndpoints.reports(1_199_999), empty());
    }

    private long untilMillis() {
        return coldEndpoints.coldUntilMillis(INCARNATION, WARM_UP_MILLIS);
    }
}
