package io.chicorytrestle.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ArrivalQueueTest {

    private final ArrivalQueue<String> queue = new ArrivalQueue<>();

    @Test
    void testRemoveNextWhenRequestsWaitBriefly() {
        queue.add("first", 0, 3_000);
        queue.add("second", 10, 3_000);

        assertThat(queue.removeNext(20), equalTo(Optional.of("first")));
        assertThat(queue.removeNext(20), equalTo(Optional.of("second")));
        assertThat(queue.removeNext(20), equalTo(Optional.empty()));
    }

    @Test
    void testRemoveNextWhenRequestsWaitLong() {
        queue.add("first", 0, 3_000);
        queue.add("second", 10, 3_000);
        queue.add("third", 20, 3_000);
        queue.remove("third");

        assertThat(queue.removeNext(200), equalTo(Optional.of("second")));
        assertThat(queue.removeNext(200), equalTo(Optional.of("first")));
        assertThat(queue.isEmpty(), is(true));
    }

    @Test
    void testRemoveOverdueWhenThirdOfTheDeadlineOrSecondPassed() {
        queue.add("short deadline", 0, 900);
        queue.add("long deadline", 0, 9_000);

        assertThat(queue.removeOverdue(300), is(List.of()));
        assertThat(queue.removeOverdue(301), contains("short deadline"));
        assertThat(queue.removeOverdue(1_000), is(List.of()));
        assertThat(queue.removeOverdue(1_001), contains("long deadline"));
    }

    /**
     * Plays an instance that starts a request in 20 ms while one arrives every 10 ms, for five
     * seconds: all that it starts must be of use to callers that abandon it after a third of a
     * second, and no time may be lost.
     */
    @Test
    void testRemoveNextWhenTwiceAsManyRequestsArriveAsCanBeStarted() {
        int started = 0;
        long longestWaitMillis = 0;
        for (long nowMillis = 0; nowMillis < 5_000; nowMillis += 10) {
            queue.add(Long.toString(nowMillis), nowMillis, 1_000);
            if (nowMillis % 20 == 0) {
                queue.removeOverdue(nowMillis);
                String next = queue.removeNext(nowMillis).orElseThrow();
                longestWaitMillis = Math.max(longestWaitMillis, nowMillis - Long.parseLong(next));
                started++;
            }
        }

        assertThat(started, equalTo(250));
        assertThat(longestWaitMillis, greaterThan(0L));
        assertThat(longestWaitMillis, lessThanOrEqualTo(333L));
    }
}
