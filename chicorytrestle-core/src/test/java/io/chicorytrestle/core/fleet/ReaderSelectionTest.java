package io.chicorytrestle.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.routing.RendezvousOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ReaderSelectionTest {

    private static final List<String> NAMES =
            IntStream.range(0, 48).mapToObj(number -> "instance-" + number).toList();

    @Test
    void testIsReaderWhenAllInstancesAreConnected() {
        assertThat(readerCount(StoreContact.READING), equalTo(2L));
    }

    @Test
    void testIsReaderWhenNoReaderIsKnown() {
        assertThat(
                ReaderSelection.roleOf(
                                "a",
                                StoreContact.FOLLOWING,
                                Map.of("b", StoreContact.FOLLOWING),
                                List.of())
                        .isReading(),
                is(true));
    }

    @Test
    void testIsReaderWhenAloneInTheZone() {
        assertThat(
                ReaderSelection.roleOf("a", StoreContact.FOLLOWING, Map.of(), List.of())
                        .isReading(),
                is(true));
    }

    @Test
    void testIsReaderWhenNoInstanceReachesTheStore() {
        assertThat(readerCount(StoreContact.LOST), equalTo(48L));
    }

    @Test
    void testIsReaderWhenAReaderLostTheStore() {
        Map<String, StoreContact> contacts = new HashMap<>();
        NAMES.forEach(name -> contacts.put(name, StoreContact.READING));
        String first = NAMES.stream().filter(name -> isReader(name, contacts)).findFirst().get();
        contacts.put(first, StoreContact.LOST);

        long others =
                NAMES.stream()
                        .filter(name -> !name.equals(first))
                        .filter(name -> isReader(name, contacts))
                        .count();

        assertThat(others, equalTo(2L));
    }

    /** Guards against a zone in which nobody notices that its connections have gone silent. */
    @Test
    void testRoleOfWhenInstancesAreLostOneAfterTheOther() {
        Map<String, StoreContact> contacts = new HashMap<>();
        NAMES.forEach(name -> contacts.put(name, StoreContact.READING));
        while (contacts.size() > 1) {
            List<String> primaries =
                    contacts.keySet().stream()
                            .filter(name -> roleOf(name, contacts) == ReaderRole.PRIMARY)
                            .toList();
            assertThat(primaries, hasSize(1));
            contacts.remove(primaries.get(0));
        }
        assertThat(
                roleOf(contacts.keySet().iterator().next(), contacts), equalTo(ReaderRole.PRIMARY));
    }

    @Test
    void testIsFirstReaderWhenReadersAreLostOneAfterTheOther() {
        List<String> readers = new ArrayList<>(NAMES);
        while (!readers.isEmpty()) {
            List<String> first = readers.stream().filter(name -> isFirst(name, readers)).toList();
            assertThat(
                    readers.stream()
                            .filter(
                                    name ->
                                            ReaderSelection.isFirstReader(
                                                    name, others(name, readers)))
                            .toList(),
                    equalTo(first));
            assertThat(first, hasSize(1));
            readers.removeAll(first);
        }
    }

    @Test
    void testRoleOfWhenAReaderOfAnotherZonePrecedes() {
        String first = NAMES.stream().filter(name -> isFirst(name, NAMES)).findFirst().get();
        for (String name : others(first, NAMES)) {
            assertThat(roleAlone(name, StoreContact.READING, first), is(ReaderRole.STANDBY));
            assertThat(roleAlone(name, StoreContact.LOST, first), is(ReaderRole.PRIMARY));
            assertThat(roleAlone(name, StoreContact.FOLLOWING, first), is(ReaderRole.PRIMARY));
            assertThat(roleAlone(first, StoreContact.READING, name), is(ReaderRole.PRIMARY));
        }
    }

    /** Returns the role of the only instance of a zone that hears from a reader of another one. */
    private static ReaderRole roleAlone(String name, StoreContact contact, String other) {
        return ReaderSelection.roleOf(name, contact, Map.of(), List.of(other));
    }

    private static List<String> others(String name, List<String> names) {
        return names.stream().filter(other -> !other.equals(name)).toList();
    }

    @Test
    void testRoleOfWhenThePrimaryLostTheStore() {
        Map<String, StoreContact> contacts = new HashMap<>();
        NAMES.forEach(name -> contacts.put(name, StoreContact.READING));
        String lost =
                NAMES.stream()
                        .filter(name -> roleOf(name, contacts) == ReaderRole.PRIMARY)
                        .findFirst()
                        .get();
        contacts.put(lost, StoreContact.LOST);

        assertThat(
                NAMES.stream().filter(name -> roleOf(name, contacts) == ReaderRole.PRIMARY).count(),
                equalTo(2L));
    }

    static boolean isFirst(String name, List<String> names) {
        return RendezvousOrder.order(ReaderSelection.ORDER_KEY, names).get(0).equals(name);
    }

    private static long readerCount(StoreContact contact) {
        Map<String, StoreContact> contacts = new HashMap<>();
        NAMES.forEach(name -> contacts.put(name, contact));
        return NAMES.stream().filter(name -> isReader(name, contacts)).count();
    }

    private static boolean isReader(String name, Map<String, StoreContact> contacts) {
        return roleOf(name, contacts).isReading();
    }

    private static ReaderRole roleOf(String name, Map<String, StoreContact> contacts) {
        Map<String, StoreContact> peers = new HashMap<>(contacts);
        StoreContact own = contacts.getOrDefault(name, StoreContact.FOLLOWING);
        peers.remove(name);
        return ReaderSelection.roleOf(name, own, peers, List.of());
    }
}
