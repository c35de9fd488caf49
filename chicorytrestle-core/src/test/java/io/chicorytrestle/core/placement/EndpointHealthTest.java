package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {

    private final EndpointHealth health = new EndpointHealth();

    @Test
    void testIsAvoidedWhenFailuresAreConsecutive() {
        health.recordConnectionFailure("e", 0);
        health.recordConnectionFailure("e", 0);

        assertThat(health.isAvoided("e", 400), is(true));
        assertThat(health.isAvoided("e", 501), is(false));
    }

    @Test
    void testIsAvoidedWhenEndpointAnsweredSince() {
        health.recordConnectionFailure("e", 0);
        health.recordAnswer("e");

        assertThat(health.isAvoided("e", 1), is(false));
    }
}
