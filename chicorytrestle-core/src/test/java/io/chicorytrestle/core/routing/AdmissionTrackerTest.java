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
        AdmissionTracker tracker = new AdmissionTracker();
        Map<InstanceIdentity, Set<Long>> model = new HashMap<>();
        for (int command : commands) {
            InstanceIdentity holder = new InstanceIdentity("r" + command % 3, "zone", 1);
            long requestNumber = command / 3 % 8;
            Set<Long> held = model.computeIfAbsent(holder, key -> new HashSet<>());
            if (!tracker.hasLease(holder, 0)) {
                tracker.join(holder, List.of(), 10);
            }
            if (command < 50) {
                tracker.grant(holder, requestNumber, SLOT);
                held.add(requestNumber);
            } else if (command < 80) {
                tracker.release(holder, requestNumber);
                held.remove(requestNumber);
            } else {
                tracker.renew(holder, requestNumber, List.of(requestNumber), 10);
                held.removeIf(earlier -> earlier < requestNumber);
            }
        }
        int expected = model.values().stream().mapToInt(Set::size).sum();
        assertThat(tracker.inFlightRequests(ENGINE), is(expected));
        assertThat(tracker.inFlightRequests("workspace"), is(expected));
        tracker.expireLeases(10);
        assertThat(tracker.inFlightRequests(ENGINE), is(0));
    }
}
