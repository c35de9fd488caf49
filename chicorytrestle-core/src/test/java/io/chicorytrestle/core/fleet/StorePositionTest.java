package io.chicorytrestle.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class StorePositionTest {

    @Test
    void testIsAfterWhenErasDiffer() {
        StorePosition lost = new StorePosition(1, 90);
        StorePosition restored = new StorePosition(2, 3);

        assertThat(restored.isAfter(lost), is(true));
        assertThat(lost.isAfter(restored), is(false));
    }

    @Test
    void testIsAfterWhenEraIsTheSame() {
        StorePosition position = new StorePosition(2, 3);

        assertThat(position.withRevision(4).isAfter(position), is(true));
        assertThat(position.isAfter(position), is(false));
        assertThat(position.isAfter(position.withRevision(4)), is(false));
    }

    @Test
    void testConstructorWhenValueIsNegative() {
        assertThrows(IllegalArgumentException.class, () -> new StorePosition(-1, 0));
        assertThrows(IllegalArgumentException.class, () -> new StorePosition(0, -1));
    }
}
