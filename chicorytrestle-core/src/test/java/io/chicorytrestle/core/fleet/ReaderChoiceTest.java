package io.chicorytrestle.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ReaderChoiceTest {

    private static final List<String> NAMES =
            IntStream.range(0, 48).mapToObj(number -> "instance-" + number).toList();

    @Test
    void testReadsWhenAllInstancesHearOneAnother() {
        assertThat(readers(StoreContact.READING), equalTo(2L));
    }

    @Test
    void testReadsWhenNoReaderIsHeard() {
        assertThat(
                ReaderChoice.reads(
                        "a", StoreContact.FOLLOWING, Map.of("b", StoreContact.FOLLOWING)),
                is(true));
    }

    @Test
    void testReadsWhenAloneInTheZone() {
        assertThat(ReaderChoice.reads("a", StoreContact.FOLLOWING, Map.of()), is(true));
    }

    @Test
    void testReadsWhenStoreIsLostByAll() {
        assertThat(readers(StoreContact.LOST), equalTo(48L));
    }

    @Test
    void testReadsWhenAReaderLostTheStore() {
        Map<String, StoreContact> contacts = new HashMap<>();
        NAMES.forEach(name -> contacts.put(name, StoreContact.READING));
        String first = NAMES.stream().filter(name -> reads(name, contacts)).findFirst().get();
        contacts.put(first, StoreContact.LOST);

        long others =
                NAMES.stream()
                        .filter(name -> !name.equals(first))
                        .filter(name -> reads(name, contacts))
                        .count();

        assertThat(others, equalTo(2L));
    }

    static boolean isFirst(String name, List<String> names) {
        return RendezvousOrder.order(ReaderChoice.KEY, names).get(0).equals(name);
    }

    private static long readers(StoreContact contact) {
        Map<String, StoreContact> contacts = new HashMap<>();
        NAMES.forEach(name -> contacts.put(name, contact));
        return NAMES.stream().filter(name -> reads(name, contacts)).count();
    }

    private static boolean reads(String name, Map<String, StoreContact> contacts) {
        Map<String, StoreContact> peers = new HashMap<>(contacts);
        StoreContact own = contacts.getOrDefault(name, StoreContact.FOLLOWING);
        peers.remove(name);
        return ReaderChoice.reads(name, own, peers);
    }
}
