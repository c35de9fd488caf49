package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class PeerLagTest {

    private static final long TIMEOUT_MILLIS = 300;

    private final PeerLag lag = new PeerLag(TIMEOUT_MILLIS);

    @Test
    void testIsDueWhenTheStateStaysTheSame() {
        assertThat(lag.begin(7L, 1_000), is(true));
        assertThat(lag.begin(7L, 1_299), is(false));
        assertThat(lag.isDue(1_299), is(false));
        assertThat(lag.isDue(1_300), is(true));
    }

    @Test
    void testIsDueWhenTheStateChanges() {
        lag.begin(7L, 1_000);

        assertThat(lag.begin(8L, 1_200), is(true));
        assertThat(lag.isDue(1_499), is(false));
        assertThat(lag.isDue(1_500), is(true));
    }
}
