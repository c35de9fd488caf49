package io.chicorytrestle.bench.quickstart;

import static org.hamcrest.CoreMatchers.is;
import static org.hamcrest.MatcherAssert.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BookingCheckTest {

    private static final FleetClient.CallResponse CONFIRMED =
            new FleetClient.CallResponse(200, "done book visit-1 1", "ran");

    private static final FleetClient.CallResponse CONFIRMED_FOR_OTHER_VISIT =
            new FleetClient.CallResponse(200, "done book visit-2 1", "ran");

    private static final FleetClient.CallResponse REFUSED =
            new FleetClient.CallResponse(503, "", "not_run");

    private static final FleetClient.CallResponse LOST =
            new FleetClient.CallResponse(0, "", "may_have_run");

    @Test
    void testAtMostOnceHoldsWhenExecutedOnce() {
        assertThat(check(CONFIRMED, CONFIRMED, 1).checkAtMostOnce().kept(), is(true));
    }

    @Test
    void testAtMostOnceFailsWhenExecutedTwice() {
        assertThat(check(CONFIRMED, CONFIRMED, 2).checkAtMostOnce().kept(), is(false));
    }

    @Test
    void testAtMostOnceFailsWhenConfirmedButNotExecuted() {
        assertThat(check(CONFIRMED, CONFIRMED, 0).checkAtMostOnce().kept(), is(false));
    }

    @Test
    void testAtMostOnceFailsWhenConfirmationBelongsToOtherBooking() {
        assertThat(check(CONFIRMED_FOR_OTHER_VISIT, LOST, 1).checkAtMostOnce().kept(), is(false));
    }

    @Test
    void testRefusalsFailWhenRefusedButExecuted() {
        assertThat(check(REFUSED, REFUSED, 1).checkRefusals().kept(), is(false));
        assertThat(check(REFUSED, LOST, 1).checkRefusals().kept(), is(true));
    }

    @Test
    void testUnconfirmedIsAllowedOnlyWhenIssuerEnded() {
        assertThat(check(LOST, LOST, 0).checkConfirmations(Set.of()).kept(), is(false));
        assertThat(check(LOST, LOST, 0).checkConfirmations(Set.of("palermo-1")).kept(), is(true));
    }

    private static BookingCheck check(
            FleetClient.CallResponse first, FleetClient.CallResponse second, int executions) {
        ObjectNode counts = JsonNodeFactory.instance.objectNode().put("book visit-1", executions);
        return new BookingCheck(
                List.of(new BookingLoad.Booking("visit-1", "palermo-1", first, second)), counts);
    }
}
