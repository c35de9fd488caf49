package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.ArrayList;
import java.util.List;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

@Param(name = "number", gen = IntGen.class, conf = "1:2")
public class ShardedLedgerLincheckTest {

    private static final InstanceIdentity ISSUER = new InstanceIdentity("entry", "palermo", 1);

    private static final Ticket[] TICKETS = {
        new Ticket(ISSUER, "sicilia", 1, 100), new Ticket(ISSUER, "sicilia", 2, 100)
    };

    private final Ledger ledger = new ShardedLedger(LedgerLimits.DEFAULT);

    @Operation
    public String claim(@Param(name = "number") int number) {
        try {
            return ledger.claim(ticket(number), "call", 0).mustExecute() ? "runner" : "joined";
        } catch (RequestFailureException failure) {
            return failure.code().wireName();
        }
    }

    @Operation
    public boolean start(@Param(name = "number") int number) {
        return ledger.start(ticket(number), 0);
    }

    @Operation
    public void finish(@Param(name = "number") int number) {
        ledger.finish(LedgerRecord.inDoubt(ticket(number), "call"));
    }

    @Operation
    public void release(@Param(name = "number") int number) {
        ledger.release(
                ticket(number), RequestFailureException.notRun(FailureCode.OVERLOADED, "busy"));
    }

    @Operation
    public Ledger.State look(@Param(name = "number") int number) {
        return ledger.lookUp(ticket(number), 0).state();
    }

    @Operation
    public void close() {
        ledger.close();
    }

    @Operation
    public List<Long> seal() {
        List<Long> numbers = new ArrayList<>();
        for (LedgerRecord record : ledger.seal()) {
            numbers.add(record.number());
        }
        return numbers;
    }

    @Test
    void testLedgerWhenSchedulesAreExplored() {
        new ModelCheckingOptions()
                .iterations(2)
                .invocationsPerIteration(60)
                .threads(2)
                .actorsPerThread(3)
                .check(ShardedLedgerLincheckTest.class);
    }

    private static Ticket ticket(int number) {
        return TICKETS[number - 1];
    }
}
