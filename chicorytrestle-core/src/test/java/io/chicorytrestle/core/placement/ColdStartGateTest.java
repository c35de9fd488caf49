package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.route.WarmUp;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Plays whole fleets that send as much as they may to endpoints that are cold. */
class ColdStartGateTest {

    private static final ColdStartBound BOUND = new ColdStartBound(1.5, 5);

    private static final WarmUp WARM_UP = new WarmUp(3_000, 12);

    private static final int FLEET_REQUESTS = 23;

    private static final int VIEW_REQUESTS = 11;

    private static final long START_MILLIS = ColdStartGate.LEARNING_MILLIS;

    private final Random random = new Random(7);

    @Test
    void testTrySendWhenAllInstancesKnowEachOther() {
        for (int instances : List.of(1, 2, 5, 11, 12, 35, 131, 390)) {
            List<String> all = names("i", instances);

            assertThat(
                    instances + " instances",
                    mostRequests(gates(all, ignored -> all)),
                    allOf(
                            lessThanOrEqualTo(VIEW_REQUESTS),
                            greaterThanOrEqualTo(Math.min(instances, VIEW_REQUESTS) / 2)));
        }
    }

    @Test
    void testTrySendWhenInstancesKnowMostOfTheOthers() {
        for (int instances : List.of(131, 390)) {
            List<String> all = names("i", instances);
            IntFunction<List<String>> part =
                    ignored -> {
                        List<String> known = new ArrayList<>(all);
                        Collections.shuffle(known, random);
                        return known.subList(0, instances * 3 / 4);
                    };

            assertThat(mostRequests(gates(all, part)), lessThanOrEqualTo(FLEET_REQUESTS));
        }
    }

    /** All instances restart during a cut and know their side alone, and both sides send. */
    @Test
    void testTrySendWhenInstancesRestartOnBothSidesOfACut() {
        for (int instances : List.of(2, 6, 24, 131, 390)) {
            List<String> left = names("l", instances / 3 + 1);
            List<String> right = names("r", instances - left.size() + 1);
            List<ColdStartGate> gates = gates(left, ignored -> left);
            gates.addAll(gates(right, ignored -> right));

            assertThat(mostRequests(gates), lessThanOrEqualTo(FLEET_REQUESTS));
        }
    }

    @Test
    void testTrySendWhenInstancesAreCutOffAfterTheyKnewTheFleet() {
        List<String> all = names("i", 131);
        List<ColdStartGate> gates = gates(all, ignored -> all);
        gates.forEach(gate -> gate.recordInstances(all.subList(0, 20)));

        assertThat(mostRequests(gates), lessThanOrEqualTo(VIEW_REQUESTS));
    }

    @Test
    void testTrySendWhenTheInstanceHasJustStarted() {
        ColdStartGate gate = new ColdStartGate("i0", BOUND, coldEndpoints(), true, 0);

        assertThat(gate.trySend(endpoint(), WARM_UP, START_MILLIS - 1), is(false));
        assertThat(gate.trySend(endpoint(), WARM_UP, START_MILLIS), is(true));
    }

    /** Instances that restart while each is cut off alone would all be the first of their order. */
    @Test
    void testTrySendWhenInstancesRestartAndEachIsCutOffAlone() {
        List<String> all = names("i", 24);
        List<ColdStartGate> gates = gates(all, number -> List.of(all.get(number)));

        assertThat(mostRequests(gates), equalTo(0));
    }

    @Test
    void testTrySendWhenTheEndpointHasWarmedUp() {
        ColdStartGate gate = gates(names("i", 131), ignored -> names("i", 131)).get(0);
        for (int count = 0; count < 100; count++) {
            assertThat(gate.trySend(endpoint(), WARM_UP, START_MILLIS + 5_000), is(true));
        }
    }

    @Test
    void testTrySendWhenTheBoundIsTooSmallToBeDivided() {
        ColdStartGate gate =
                new ColdStartGate("i", new ColdStartBound(1, 0), coldEndpoints(), true, 0);

        assertThat(gate.trySend(endpoint(), new WarmUp(3_000, 1), START_MILLIS), is(false));
    }

    @Test
    void testIsOpenWhenNothingIsKnownOfTheEndpoint() {
        ColdStartGate gate = new ColdStartGate("i", BOUND, new ColdEndpoints(), true, 0);

        assertThat(gate.isCold(endpoint(), WARM_UP, START_MILLIS), equalTo(true));
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(number -> prefix + number).toList();
    }

    private static ServingEndpoint endpoint() {
        return Endpoints.ready("1", "a");
    }

    private static ColdEndpoints coldEndpoints() {
        ColdEndpoints coldEndpoints = new ColdEndpoints();
        coldEndpoints.recordListed(endpoint().incarnation(), false, START_MILLIS);
        coldEndpoints.record(
                new ColdReport(endpoint().incarnation(), new StorePosition(0, 1), 4_900),
                START_MILLIS);
        return coldEndpoints;
    }

    private static List<ColdStartGate> gates(
            List<String> names, IntFunction<List<String>> knownNames) {
        List<ColdStartGate> gates = new ArrayList<>();
        for (int number = 0; number < names.size(); number++) {
            ColdStartGate gate =
                    new ColdStartGate(
                            names.get(number), BOUND, coldEndpoints(), names.size() == 1, 0);
            gate.recordInstances(knownNames.apply(number));
            gates.add(gate);
        }
        return gates;
    }

    /** Lets every instance try to send about every 20 ms, and counts the most in any second. */
    private int mostRequests(List<ColdStartGate> gates) {
        List<Long> times = new ArrayList<>();
        for (long millis = START_MILLIS; millis < START_MILLIS + 4_500; millis += 20) {
            for (ColdStartGate gate : gates) {
                long sentMillis = millis + random.nextInt(20);
                if (gate.trySend(endpoint(), WARM_UP, sentMillis)) {
                    times.add(sentMillis);
                }
            }
        }
        Collections.sort(times);
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
