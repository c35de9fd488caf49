package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Map;
import org.junit.jupiter.api.Test;

class OutcomeBookTest {

    private final OutcomeBook book = new OutcomeBook();

    @Test
    void testFailureRateWhenRequestsFail() {
        for (int answers = 0; answers < 10; answers++) {
            book.ended("e", false, 0);
        }

        assertThat(book.failureRate("e", 0), greaterThan(0.7));
    }

    @Test
    void testFailureRateWhenOneRequestFailed() {
        book.ended("e", false, 0);

        assertThat(book.failureRate("e", 0), closeTo(0.2, 1e-9));
    }

    @Test
    void testFailureRateWhenPeersMeetFailures() {
        for (String peer : new String[] {"a", "b", "c"}) {
            book.peer(peer, Map.of("e", new Outcomes(2, 1)), 0);
        }

        assertThat(book.failureRate("e", 0), closeTo(0.3, 1e-9));
    }

    @Test
    void testFailureRateWhenPeerTellsAgain() {
        book.peer("a", Map.of("e", new Outcomes(4, 4)), 0);
        book.peer("a", Map.of("e", new Outcomes(4, 0)), 400);

        assertThat(book.failureRate("e", 400), equalTo(0.0));
    }

    @Test
    void testFailureRateWhenTimePassed() {
        for (int answers = 0; answers < 8; answers++) {
            book.ended("e", false, 0);
        }

        assertThat(book.failureRate("e", 12_000), lessThan(0.2));
    }

    @Test
    void testOwnWhenOutcomesFaded() {
        book.ended("e", false, 0);
        book.expire(30_000);

        assertThat(book.own(30_000), equalTo(Map.of()));
    }
}
