package io.chicorytrestle.core.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import io.chicorytrestle.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

class ShardedLedgerTest {

    private static final String CALL_HASH = "call";

    private final ShardedLedger ledger =
            new ShardedLedger(new LedgerLimits(2, 1_000, 100, 500, 10));

    @Test
    void testClaimWhenFull() throws Exception {
        ledger.claim(ticket(1), CALL_HASH, 0);
        ledger.claim(ticket(2), CALL_HASH, 0);
        assertThat(refusal(3, CALL_HASH, 0).code(), is(FailureCode.OVERLOADED));
        assertThat(refusal(3, CALL_HASH, 0).verdict(), is(Verdict.NOT_RUN));
    }

    @Test
    void testClaimWhenFullOfExpiredOutcomes() throws Exception {
        for (int number = 1; number <= 2; number++) {
            ledger.claim(ticket(number), CALL_HASH, 0);
            ledger.finish(LedgerRecord.executed(ticket(number), CALL_HASH, 200, "done"));
        }
        Ticket lateTicket = new Ticket(ticket(1).issuer(), "sicilia", 3, 300);
        assertThat(ledger.claim(lateTicket, CALL_HASH, 150).mustExecute(), is(true));
        assertThat(refusal(1, CALL_HASH, 150).verdict(), is(Verdict.MAY_HAVE_RUN));
        assertThat(ledger.lookUp(ticket(1), 150).state(), is(Ledger.State.EVICTED));
    }

    @Test
    void testClaimWhenFullOfStartedCalls() throws Exception {
        for (int number = 1; number <= 2; number++) {
            ledger.claim(ticket(number), CALL_HASH, 0);
            ledger.start(ticket(number), 0);
        }
        Ticket lateTicket = new Ticket(ticket(1).issuer(), "sicilia", 3, 5_000);
        assertThrows(
                RequestFailureException.class, () -> ledger.claim(lateTicket, CALL_HASH, 4_000));
        assertThat(ledger.lookUp(ticket(1), 4_000).state(), is(Ledger.State.STARTED));
    }

    @Test
    void testClaimWhenUsedForAnotherCall() throws Exception {
        ledger.claim(ticket(1), CALL_HASH, 0);
        assertThat(refusal(1, "other", 0).code(), is(FailureCode.TICKET_REFUSED));
    }

    @Test
    void testClaimWhenExpired() {
        assertThat(refusal(1, CALL_HASH, 100).code(), is(FailureCode.TICKET_REFUSED));
        assertThat(refusal(1, CALL_HASH, 100).verdict(), is(Verdict.NOT_RUN));
    }

    @Test
    void testStartWhenExpiredSinceClaim() throws Exception {
        ledger.claim(ticket(1), CALL_HASH, 99);
        assertThat(ledger.start(ticket(1), 100), is(false));
    }

    @Test
    void testFinishWhenBodyTooLarge() throws Exception {
        Ledger.Claim claim = ledger.claim(ticket(1), CALL_HASH, 0);
        ledger.start(ticket(1), 0);
        ledger.finish(LedgerRecord.executed(ticket(1), CALL_HASH, 200, "x".repeat(60)));
        assertThat(claim.completion().join().outcomeStored(), is(true));
        LedgerRecord storedRecord = ledger.lookUp(ticket(1), 0).record().orElseThrow();
        assertThat(storedRecord.verdict(), is(Verdict.RAN));
        assertThat(storedRecord.outcomeStored(), is(false));
    }

    @Test
    void testSealWhenStarted() throws Exception {
        ledger.claim(ticket(1), CALL_HASH, 0);
        ledger.claim(ticket(2), CALL_HASH, 0);
        ledger.start(ticket(1), 0);
        assertThat(ledger.seal().size(), is(1));
        assertThat(ledger.start(ticket(2), 0), is(false));
        assertThat(ledger.lookUp(ticket(2), 0).state(), is(Ledger.State.NEVER_RUN));
    }

    @Test
    void testReleaseWhenJoined() throws Exception {
        ledger.claim(ticket(1), CALL_HASH, 0);
        Ledger.Claim joined = ledger.claim(ticket(1), CALL_HASH, 0);
        ledger.release(ticket(1), RequestFailureException.notRun(FailureCode.OVERLOADED, "busy"));
        assertThat(joined.completion().isCompletedExceptionally(), is(true));
        assertThat(ledger.size(), is(0));
        assertThat(ledger.claim(ticket(1), CALL_HASH, 0).mustExecute(), is(true));
    }

    private RequestFailureException refusal(long number, String callHash, long nowMillis) {
        return assertThrows(
                RequestFailureException.class,
                () -> ledger.claim(ticket(number), callHash, nowMillis));
    }

    private static Ticket ticket(long number) {
        return new Ticket(new InstanceIdentity("entry", "palermo", 1), "sicilia", number, 100);
    }
}
