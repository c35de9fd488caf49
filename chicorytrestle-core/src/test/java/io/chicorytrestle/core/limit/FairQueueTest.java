package io.chicorytrestle.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private final FairQueue<String> queue = new FairQueue<>();
    private final Map<String, FairQueue.Allocation> allocations = new HashMap<>();

    @Test
    void testOfferWhenQueueOfWorkspaceFull() {
        assertThat(queue.offer("busy", "a", 100, 1, 0), is(true));
        assertThat(queue.offer("busy", "b", 100, 1, 0), is(false));
        assertThat(queue.offer("quiet", "c", 100, 1, 0), is(true));
    }

    @Test
    void testPollWhenOneWorkspaceHasMoreInFlightForItsShare() {
        queue.offer("busy", "a", 100, 9, 0);
        queue.offer("quiet", "b", 100, 9, 0);
        allocations.put("busy", new FairQueue.Allocation(2, 8, 99));
        allocations.put("quiet", new FairQueue.Allocation(1, 1, 99));
        assertThat(queue.poll(allocations::get, item -> true, 0), is(Optional.of("b")));
    }

    @Test
    void testPollWhenWorkspaceAtItsCeiling() {
        queue.offer("busy", "a", 100, 9, 0);
        allocations.put("busy", new FairQueue.Allocation(1, 5, 5));
        assertThat(queue.poll(allocations::get, item -> true, 0), is(Optional.empty()));
    }

    @Test
    void testPollWhenSmallShareWaitedLong() {
        queue.offer("small", "a", 100_000, 9, 0);
        queue.offer("large", "b", 100_000, 9, 20_000);
        allocations.put("small", new FairQueue.Allocation(0.1, 0, 99));
        allocations.put("large", new FairQueue.Allocation(10, 9, 99));
        assertThat(queue.poll(allocations::get, item -> true, 20_000), is(Optional.of("a")));
        assertThat(queue.poll(allocations::get, item -> true, 20_000), is(Optional.of("b")));
    }

    @Test
    void testPollWhenFirstCannotStart() {
        queue.offer("one", "a", 100, 9, 0);
        queue.offer("one", "b", 100, 9, 0);
        allocations.put("one", new FairQueue.Allocation(1, 0, 99));
        assertThat(queue.poll(allocations::get, item -> item.equals("b"), 0), is(Optional.of("b")));
    }

    @Test
    void testExpireWhenDeadlinePassed() {
        queue.offer("one", "a", 5, 9, 0);
        queue.offer("one", "b", 50, 9, 0);
        assertThat(queue.expire(10), contains("a"));
        assertThat(queue.size(), is(1));
    }
}
