package io.chicorytrestle.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

class AttemptTimeoutsTest {

    @Test
    void testAnswerTimeoutMillisWhenMuchTimeIsLeft() {
        assertThat(AttemptTimeouts.answerTimeoutMillis(600, 10_000), equalTo(1_200L));
    }

    @Test
    void testAnswerTimeoutMillisWhenTheTargetIsShort() {
        assertThat(AttemptTimeouts.answerTimeoutMillis(50, 10_000), equalTo(250L));
    }

    @Test
    void testAnswerTimeoutMillisWhenLittleTimeIsLeft() {
        assertThat(AttemptTimeouts.answerTimeoutMillis(600, 1_000), equalTo(450L));
    }

    @Test
    void testAnswerTimeoutMillisWhenNoTimeIsLeft() {
        assertThat(AttemptTimeouts.answerTimeoutMillis(600, -10), equalTo(1L));
    }

    @Test
    void testStallTimeoutMillisWhenPausesMayBeLong() {
        assertThat(AttemptTimeouts.stallTimeoutMillis(500), equalTo(1_500L));
    }

    @Test
    void testStallTimeoutMillisWhenPausesMustBeShort() {
        assertThat(AttemptTimeouts.stallTimeoutMillis(0), equalTo(1_000L));
    }
}
