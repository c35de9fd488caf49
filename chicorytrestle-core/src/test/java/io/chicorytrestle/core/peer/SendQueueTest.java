package io.chicorytrestle.core.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class SendQueueTest {

    private final SendQueue<String> queue = new SendQueue<>(ByteBudget.full(1_000, 0), 8);

    @Test
    void testPollWhenSeveralPrioritiesWait() {
        queue.offer("summary", 10, MessagePriority.BACKGROUND);
        queue.offer("table", 10, MessagePriority.PROMPT);
        queue.offer("question", 10, MessagePriority.REQUEST);
        assertThat(queue.poll(0), is(Optional.of("question")));
        assertThat(queue.poll(0), is(Optional.of("table")));
        assertThat(queue.poll(0), is(Optional.of("summary")));
    }

    @Test
    void testPollWhenBudgetIsUsedUp() {
        queue.offer("one", 1_500, MessagePriority.PROMPT);
        queue.offer("two", 100, MessagePriority.PROMPT);
        queue.offer("question", 100, MessagePriority.REQUEST);
        assertThat(queue.poll(0), is(Optional.of("question")));
        assertThat(queue.poll(0), is(Optional.of("one")));
        assertThat(queue.poll(0), is(Optional.empty()));
        assertThat(queue.poll(queue.waitMillis(0)), is(Optional.of("two")));
    }

    @Test
    void testOfferWhenQueueIsFull() {
        for (int count = 0; count < 8; count++) {
            queue.offer("notice", 1, MessagePriority.PROMPT);
        }
        assertThat(queue.offer("notice", 1, MessagePriority.PROMPT), is(false));
        assertThat(queue.dropped(), is(1L));
    }

    @Test
    void testPollWhenSendingForLong() {
        long sentBytes = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            queue.offer("notice", 100, MessagePriority.BACKGROUND);
            sentBytes += queue.poll(millis).isPresent() ? 100 : 0;
        }
        assertThat(sentBytes, is(lessThanOrEqualTo(11_100L)));
    }
}
