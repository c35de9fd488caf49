package io.chicorytrestle.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.identity.EndpointIdentity;
import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class AdmissionTrackerTest {

    private static final EndpointIdentity ENGINE = new EndpointIdentity("engine", 1);
    private static final AdmissionTracker.Slot SLOT =
            new AdmissionTracker.Slot(ENGINE, "workspace");

    @Property(seed = "1", tries = 200)
    void testInFlightRequestsWhenGrantedReleasedRenewedAndRepeatedInAnyOrder(
            @ForAll @Size(max = 60) List<@IntRange(max = 99) Integer> commands) {
        AdmissionTracker book = new AdmissionTracker();
        Map<InstanceIdentity, Set<Long>> model = new HashMap<>();
        for (int command : commands) {
            InstanceIdentity holder = new InstanceIdentity("r" + command % 3, "zone", 1);
            long number = command / 3 % 8;
            Set<Long> held = model.computeIfAbsent(holder, key -> new HashSet<>());
            if (!book.hasLease(holder, 0)) {
                book.join(holder, List.of(), 10);
            }
            if (command < 50) {
                book.grant(holder, number, SLOT);
                held.add(number);
            } else if (command < 80) {
                book.release(holder, number);
                held.remove(number);
            } else {
                book.renew(holder, number, List.of(number), 10);
                held.removeIf(one -> one < number);
            }
        }
        int expected = model.values().stream().mapToInt(Set::size).sum();
        assertThat(book.inFlightRequests(ENGINE), is(expected));
        assertThat(book.inFlightRequests("workspace"), is(expected));
        book.expireLeases(10);
        assertThat(book.inFlightRequests(ENGINE), is(0));
    }
}
