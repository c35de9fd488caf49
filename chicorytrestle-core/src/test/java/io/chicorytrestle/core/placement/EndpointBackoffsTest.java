package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EndpointBackoffsTest {

    private static final ServingEndpoint FIRST = Endpoints.ready("1", "a");

    private static final ServingEndpoint SECOND = Endpoints.ready("2", "a");

    private final EndpointBackoffs backoffs = new EndpointBackoffs();

    @Test
    void testIsOpenWhenTheTimeEnds() {
        backoffs.record(FIRST.incarnation(), 1_000, 500);

        assertThat(backoffs.isOpen(FIRST.incarnation(), 1_499), is(false));
        assertThat(backoffs.isOpen(FIRST.incarnation(), 1_500), is(true));
        assertThat(backoffs.isOpen(SECOND.incarnation(), 500), is(true));
    }

    @Test
    void testRecordWhenALaterTimeIsLongerOrShorter() {
        backoffs.record(FIRST.incarnation(), 1_000, 0);
        assertThat(backoffs.record(FIRST.incarnation(), 100, 10), is(false));
        assertThat(backoffs.isOpen(FIRST.incarnation(), 999), is(false));

        assertThat(backoffs.record(FIRST.incarnation(), 2_000, 20), is(true));
        assertThat(backoffs.isOpen(FIRST.incarnation(), 2_019), is(false));
        assertThat(backoffs.isOpen(FIRST.incarnation(), 2_020), is(true));
    }

    @Test
    void testRecordWhenTheTimeIsZeroNegativeOrWithoutEnd() {
        assertThat(backoffs.record(FIRST.incarnation(), 0, 0), is(false));
        assertThat(backoffs.record(FIRST.incarnation(), -5, 0), is(false));
        assertThat(backoffs.isOpen(FIRST.incarnation(), 0), is(true));

        backoffs.record(FIRST.incarnation(), Long.MAX_VALUE, 7);
        long endMillis = 7 + EndpointBackoffs.MAXIMUM_BACKOFF_MILLIS;
        assertThat(backoffs.isOpen(FIRST.incarnation(), endMillis - 1), is(false));
        assertThat(backoffs.isOpen(FIRST.incarnation(), endMillis), is(true));
    }

    /** Guards against all that waited for an endpoint arriving together. */
    @Test
    void testIsOpenWhenManyRequestsWaitedForTheEnd() {
        backoffs.record(FIRST.incarnation(), 1_000, 0);
        backoffs.recordPlacement(FIRST.incarnation(), 1_000);
        assertThat(backoffs.isOpen(FIRST.incarnation(), 1_001), is(false));

        backoffs.recordEnd(FIRST.incarnation(), 1_100);
        backoffs.recordPlacement(FIRST.incarnation(), 1_100);
        assertThat(backoffs.isOpen(FIRST.incarnation(), 1_101), is(true));
    }

    @Test
    void testIsOpenWhenTheTrialIsNotAnswered() {
        backoffs.record(FIRST.incarnation(), 1_000, 0);
        backoffs.recordPlacement(FIRST.incarnation(), 1_000);
        assertThat(backoffs.isOpen(FIRST.incarnation(), 1_499), is(false));

        backoffs.recordPlacement(FIRST.incarnation(), 1_500);
        assertThat(backoffs.isOpen(FIRST.incarnation(), 1_501), is(true));
    }

    @Test
    void testIsOpenWhenAnEarlierRequestEndsBeforeTheTime() {
        backoffs.record(FIRST.incarnation(), 1_000, 0);
        backoffs.recordEnd(FIRST.incarnation(), 10);

        assertThat(backoffs.isOpen(FIRST.incarnation(), 11), is(false));
    }

    @Test
    void testIsOpenWhenTheEndpointRestarts() {
        backoffs.record(FIRST.incarnation(), 1_000, 0);
        ServingEndpoint restarted =
                new ServingEndpoint("1", Endpoints.SERVICE, FIRST.address(), "a", 64, false, 99);

        assertThat(backoffs.isOpen(restarted.incarnation(), 1), is(true));
    }

    @Test
    void testMillisUntilOpenWhenAllEndpointsAreClosed() {
        backoffs.record(FIRST.incarnation(), 3_000, 0);
        backoffs.record(SECOND.incarnation(), 2_000, 0);

        assertThat(
                backoffs.millisUntilOpen(List.of(FIRST, SECOND), 500),
                equalTo(OptionalLong.of(1_500)));
        assertThat(
                backoffs.millisUntilOpen(List.of(FIRST, SECOND), 2_500),
                equalTo(OptionalLong.of(0)));
        assertThat(backoffs.millisUntilOpen(List.of(), 0), equalTo(OptionalLong.empty()));
    }

    /** Plays random requests, responses and times, and counts what arrives while nothing may. */
    @Test
    void testIsOpenWhenManyEndpointsAskAtRandomTimes() {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            Map<String, Long> closedUntil = new HashMap<>();
            int underWay = 0;
            for (long nowMillis = 0; nowMillis < 5_000; nowMillis += random.nextInt(20)) {
                String incarnation = "e" + random.nextInt(6) + "@1";
                boolean isClosed = nowMillis < closedUntil.getOrDefault(incarnation, 0L);
                if (backoffs.isOpen(incarnation, nowMillis)) {
                    assertThat("seed " + seed, isClosed, is(false));
                    backoffs.recordPlacement(incarnation, nowMillis);
                    underWay++;
                }
                if (underWay > 0 && random.nextInt(3) == 0) {
                    underWay--;
                    long millis = random.nextInt(1_500) - 100L;
                    closedUntil.merge(incarnation, nowMillis + millis, Math::max);
                    backoffs.record(incarnation, millis, nowMillis);
                    backoffs.recordEnd(incarnation, nowMillis);
                }
                assertThat(
                        backoffs.millisUntilOpen(List.of(FIRST), nowMillis).getAsLong(),
                        lessThanOrEqualTo(EndpointBackoffs.MAXIMUM_BACKOFF_MILLIS));
            }
            backoffs.removeExpired(Long.MAX_VALUE);
        }
    }
}
