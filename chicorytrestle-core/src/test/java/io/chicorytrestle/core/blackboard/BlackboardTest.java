package io.chicorytrestle.core.blackboard;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BlackboardTest {

    private static final Topic<Integer> TOPIC = new Topic<>("number", 7);

    @Test
    void testReadWhenNothingWritten() {
        assertThat(new Blackboard().read(TOPIC), is(7));
    }

    @Test
    void testUpdateWhenListening() {
        Blackboard blackboard = new Blackboard();
        List<Integer> seen = new ArrayList<>();
        blackboard.addListener(TOPIC, seen::add);
        blackboard.write(TOPIC, 8);
        blackboard.update(TOPIC, value -> value + 1);
        assertThat(seen, contains(8, 9));
    }
}
