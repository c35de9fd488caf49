package io.chicorytrestle.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

class PatienceTest {

    @Test
    void testMillisWhenMuchTimeIsLeft() {
        assertThat(Patience.millis(600, 10_000), equalTo(1_200L));
    }

    @Test
    void testMillisWhenTheTargetIsShort() {
        assertThat(Patience.millis(50, 10_000), equalTo(250L));
    }

    @Test
    void testMillisWhenLittleTimeIsLeft() {
        assertThat(Patience.millis(600, 1_000), equalTo(450L));
    }

    @Test
    void testMillisWhenNoTimeIsLeft() {
        assertThat(Patience.millis(600, -10), equalTo(1L));
    }

    @Test
    void testStallMillisWhenPausesMayBeLong() {
        assertThat(Patience.stallMillis(500), equalTo(1_500L));
    }

    @Test
    void testStallMillisWhenPausesMustBeShort() {
        assertThat(Patience.stallMillis(0), equalTo(1_000L));
    }
}
