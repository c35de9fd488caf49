package io.chicorytrestle.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RefusalReasonTest {

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void testRetryAfterMillisWhenLittleTimeIsLeft(RefusalReason reason) {
        assertThat(reason.retryAfterMillis(300, 0.99), lessThanOrEqualTo(100L));
    }

    @Test
    void testRetryAfterMillisWhenCallersAreRefusedTogether() {
        long first = RefusalReason.SHED.retryAfterMillis(10_000, 0);
        long last = RefusalReason.SHED.retryAfterMillis(10_000, 0.99);

        assertThat(last, allOf(greaterThan(first), lessThanOrEqualTo(2 * first)));
    }

    @Test
    void testRetryAfterMillisWhenTheTimeIsOver() {
        assertThat(RefusalReason.SHED.retryAfterMillis(-5, 0.5), equalTo(0L));
    }

    /** Guards against callers that all return at the moment at which an endpoint opens. */
    @Test
    void testRetryAfterMillisWhenNoEndpointIsOpen() {
        assertThat(RefusalReason.BACKED_OFF.retryAfterMillis(3_000, 1_000, 0), equalTo(3_000L));
        assertThat(
                RefusalReason.BACKED_OFF.retryAfterMillis(3_000, 1_000, 0.99),
                allOf(greaterThan(3_900L), lessThanOrEqualTo(4_000L)));
        assertThat(RefusalReason.BACKED_OFF.retryAfterMillis(10, 1_000, 0.99), greaterThan(200L));
    }
}
