package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {

    private final EndpointHealth health = new EndpointHealth();

    @Test
    void testIsBrokenWhenFailuresFollowOneAnother() {
        health.broke("e", 0);
        health.broke("e", 0);

        assertThat(health.isBroken("e", 400), is(true));
        assertThat(health.isBroken("e", 501), is(false));
    }

    @Test
    void testIsBrokenWhenEndpointAnsweredSince() {
        health.broke("e", 0);
        health.answered("e");

        assertThat(health.isBroken("e", 1), is(false));
    }
}
