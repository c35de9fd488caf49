package io.chicorytrestle.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards that those who ask for the origin of a stream ask those who were told. */
class StreamKeepersTest {

    private static final int INSTANCES = 390;

    private static final List<String> ZONES = List.of("x", "y", "z");

    @Test
    void testSelectWhenTheFleetIsLarge() {
        Map<String, String> fleet = fleet();
        Set<String> keepers = new HashSet<>();
        for (int stream = 0; stream < 100; stream++) {
            List<String> told = StreamKeepers.select("r" + stream, fleet, StreamKeepers.TOLD);
            assertThat(told.stream().map(fleet::get).toList(), containsInAnyOrder("x", "y", "z"));
            keepers.addAll(told);
        }
        assertThat(keepers.size(), greaterThan(150));
    }

    @Test
    void testSelectWhenInstancesReachDifferentOthers() {
        for (int stream = 0; stream < 100; stream++) {
            String id = "r" + stream;
            Map<String, String> known = fleet();
            List<String> told = StreamKeepers.select(id, known, StreamKeepers.TOLD);
            known.keySet().removeAll(told.subList(0, 2));

            List<String> asked = StreamKeepers.select(id, known, StreamKeepers.ASKED);
            assertThat(asked.contains(told.get(2)), equalTo(true));
        }
    }

    @Test
    void testSelectWhenZonesAreFewOrEmpty() {
        assertThat(StreamKeepers.select("r", Map.of(), 3), equalTo(List.of()));
        assertThat(StreamKeepers.select("r", Map.of("a", "x"), 3), contains("a"));
        assertThat(
                StreamKeepers.select("r", Map.of("a", "x", "b", "x", "c", "y"), 3),
                containsInAnyOrder("a", "b", "c"));
    }

    @Test
    void testSelectWhenIdentifiersAreLong() {
        String id = "x".repeat(5_000);

        assertThat(
                StreamKeepers.select(id, new TreeMap<>(fleet()), 3),
                equalTo(StreamKeepers.select(id, fleet(), 3)));
    }

    private static Map<String, String> fleet() {
        Map<String, String> zones = new HashMap<>();
        for (int number = 0; number < INSTANCES; number++) {
            zones.put("i" + number, ZONES.get(number % ZONES.size()));
        }
        return zones;
    }
}
