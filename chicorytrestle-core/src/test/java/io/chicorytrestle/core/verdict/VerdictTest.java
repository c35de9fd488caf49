package io.chicorytrestle.core.verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class VerdictTest {

    @Test
    void testAllowsRepeatWhenNotRun() {
        assertThat(Verdict.NOT_RUN.allowsRepeat(false), is(true));
    }

    @Test
    void testAllowsRepeatWhenMayHaveRun() {
        assertThat(Verdict.MAY_HAVE_RUN.allowsRepeat(false), is(false));
        assertThat(Verdict.MAY_HAVE_RUN.allowsRepeat(true), is(true));
    }

    @Test
    void testCombinedWithWhenOneMayHaveRun() {
        assertThat(Verdict.NOT_RUN.combinedWith(Verdict.MAY_HAVE_RUN), is(Verdict.MAY_HAVE_RUN));
        assertThat(Verdict.RAN.combinedWith(Verdict.MAY_HAVE_RUN), is(Verdict.RAN));
    }
}
