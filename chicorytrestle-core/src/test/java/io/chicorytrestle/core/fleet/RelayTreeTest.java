package io.chicorytrestle.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RelayTreeTest {

    private static final List<String> NAMES =
            IntStream.range(0, 49).mapToObj(number -> "instance-" + number).toList();

    @Test
    void testChildrenWhenAllForward() {
        String root =
                NAMES.stream()
                        .filter(name -> ReaderSelectionTest.isFirst(name, NAMES))
                        .findFirst()
                        .orElseThrow();
        Set<String> reached = new HashSet<>(Set.of(root));
        Deque<String> pending = new ArrayDeque<>(reached);
        while (!pending.isEmpty()) {
            for (String child : RelayTree.children(pending.removeFirst(), NAMES)) {
                assertThat("each instance receives an update once", reached.add(child), is(true));
                pending.add(child);
            }
        }

        assertThat(reached, hasSize(NAMES.size()));
    }

    @Test
    void testChildrenWhenManyInstancesAreKnown() {
        for (String name : NAMES) {
            assertThat(RelayTree.children(name, NAMES).size(), lessThanOrEqualTo(3));
        }
    }

    @Test
    void testChildrenWhenAlone() {
        assertThat(RelayTree.children("a", List.of("a")), is(empty()));
    }

    @Test
    void testChildrenWhenTwoAreKnown() {
        int children =
                RelayTree.children("a", List.of("a", "b")).size()
                        + RelayTree.children("b", List.of("a", "b")).size();
        assertThat(children, equalTo(1));
    }
}
