package io.chicorytrestle.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

class RepeatabilityTest {

    @Test
    void testAllowsRepeatWhenRequestMayHaveRun() {
        assertThat(Repeatability.IDEMPOTENT.allowsRepeat(Verdict.MAY_HAVE_RUN), is(true));
        assertThat(Repeatability.NON_IDEMPOTENT.allowsRepeat(Verdict.MAY_HAVE_RUN), is(false));
        assertThat(Repeatability.STREAM.allowsRepeat(Verdict.MAY_HAVE_RUN), is(false));
        assertThat(Repeatability.RESUMABLE_STREAM.allowsRepeat(Verdict.MAY_HAVE_RUN), is(true));
    }

    @Test
    void testAllowsRepeatWhenRequestHasNotRun() {
        for (Repeatability repeatability : Repeatability.values()) {
            assertThat(repeatability.allowsRepeat(Verdict.NOT_RUN), is(true));
        }
    }

    @Test
    void testAllowsResumeWhenStreamMayNotRunTwice() {
        assertThat(Repeatability.STREAM.allowsResume(), is(false));
        assertThat(Repeatability.RESUMABLE_STREAM.allowsResume(), is(true));
    }
}
