package io.chicorytrestle.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards the store against the readings of many instances that start together. */
class HistoryReadingDelayTest {

    private static final long SEED = 57_021;

    private static final int INSTANCES = 390;

    private static final int MAXIMUM_CALLS_PER_SECOND = 2_000;

    private static final int CALLS = 24;

    private static final int SECONDS = 10;

    @Test
    void testMillisWhenTheFleetIsSmall() {
        for (int count = 1; count <= 20; count++) {
            assertThat(HistoryReadingDelay.millis(count, 0.999), equalTo(0L));
        }
    }

    @Test
    void testMillisWhenAllInstancesOfALargeFleetRead() {
        Random random = new Random(SEED);
        int[] calls = new int[SECONDS];
        for (int number = 0; number < INSTANCES; number++) {
            long delayMillis = HistoryReadingDelay.millis(INSTANCES, random.nextDouble());
            calls[(int) (delayMillis / 1_000)] += CALLS;
        }
        for (int second = 0; second < SECONDS; second++) {
            assertThat(calls[second], lessThanOrEqualTo(MAXIMUM_CALLS_PER_SECOND));
        }
    }
}
