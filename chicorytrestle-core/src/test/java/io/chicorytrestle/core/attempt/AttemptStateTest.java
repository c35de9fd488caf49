package io.chicorytrestle.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.chicorytrestle.core.route.Repeatability;
import io.chicorytrestle.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

class AttemptStateTest {

    @Test
    void testNextWhenNonIdempotentRequestMayHaveRun() {
        assertThat(
                state(Repeatability.NON_IDEMPOTENT, Verdict.MAY_HAVE_RUN, 1, 3, false).next(),
                equalTo(NextStep.FAIL));
    }

    @Test
    void testNextWhenNonIdempotentRequestHasNotRun() {
        assertThat(
                state(Repeatability.NON_IDEMPOTENT, Verdict.NOT_RUN, 1, 2, false).next(),
                equalTo(NextStep.REPEAT));
    }

    @Test
    void testNextWhenNonIdempotentRequestHasNotRunAndAttemptsAreUsedUp() {
        assertThat(
                state(Repeatability.NON_IDEMPOTENT, Verdict.NOT_RUN, 1, 1, false).next(),
                equalTo(NextStep.REFUSE));
    }

    @Test
    void testNextWhenIdempotentRequestMayHaveRun() {
        assertThat(
                state(Repeatability.IDEMPOTENT, Verdict.MAY_HAVE_RUN, 1, 2, false).next(),
                equalTo(NextStep.REPEAT));
    }

    @Test
    void testNextWhenIdempotentRequestRanAndAttemptsAreUsedUp() {
        assertThat(
                state(Repeatability.IDEMPOTENT, Verdict.RAN, 2, 2, false).next(),
                equalTo(NextStep.FAIL));
    }

    @Test
    void testNextWhenStreamBrokeBeforeItsFirstEvent() {
        assertThat(
                state(Repeatability.STREAM, Verdict.MAY_HAVE_RUN, 1, 2, false).next(),
                equalTo(NextStep.FAIL));
    }

    @Test
    void testNextWhenStreamBrokeMidway() {
        assertThat(
                state(Repeatability.STREAM, Verdict.RAN, 1, 2, true).next(), equalTo(NextStep.CUT));
    }

    @Test
    void testNextWhenResumableStreamBrokeMidway() {
        assertThat(
                state(Repeatability.RESUMABLE_STREAM, Verdict.RAN, 1, 2, true).next(),
                equalTo(NextStep.RESUME));
    }

    @Test
    void testNextWhenRetryBudgetIsSpent() {
        AttemptState state =
                new AttemptState(
                        Repeatability.IDEMPOTENT, Verdict.MAY_HAVE_RUN, 1, 2, false, false, 1_000);

        assertThat(state.next(), equalTo(NextStep.FAIL));
    }

    @Test
    void testNextWhenNoTimeIsLeft() {
        AttemptState state =
                new AttemptState(Repeatability.IDEMPOTENT, Verdict.NOT_RUN, 0, 2, false, true, 5);

        assertThat(state.next(), equalTo(NextStep.REFUSE));
    }

    private static AttemptState state(
            Repeatability repeatability,
            Verdict verdict,
            int attempts,
            int maximumAttempts,
            boolean isAnswerStarted) {
        return new AttemptState(
                repeatability, verdict, attempts, maximumAttempts, isAnswerStarted, true, 1_000);
    }
}
