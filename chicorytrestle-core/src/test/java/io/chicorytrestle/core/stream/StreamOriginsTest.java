package io.chicorytrestle.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards the memory of streams, which is bounded and must not name a wrong origin. */
class StreamOriginsTest {

    private static final StreamOrigin FIRST = new StreamOrigin("s", "v1");

    private static final StreamOrigin SECOND = new StreamOrigin("s", "v2");

    private final StreamOrigins origins = new StreamOrigins();

    @Test
    void testFindWhenTimePasses() {
        origins.record("a", FIRST, 0);

        assertThat(origins.find("a", 60_000), equalTo(Optional.of(FIRST)));
        assertThat(origins.find("b", 60_000), equalTo(Optional.empty()));
        assertThat(origins.find("a", 60_001), equalTo(Optional.empty()));
    }

    @Test
    void testFindWhenAnIdentifierHasTwoOrigins() {
        origins.record("a", FIRST, 0);
        origins.record("a", FIRST, 1);
        assertThat(origins.find("a", 2), equalTo(Optional.of(FIRST)));

        origins.record("a", SECOND, 3);
        origins.record("a", SECOND, 4);
        origins.record("a", FIRST, 5);
        assertThat(origins.find("a", 6), equalTo(Optional.of(StreamOrigin.AMBIGUOUS)));
        assertThat(StreamOrigin.AMBIGUOUS.isKnown(), equalTo(false));
    }

    @Test
    void testFindWhenIdentifiersAreLong() {
        String prefix = "x".repeat(5_000);
        origins.record(prefix + 1, FIRST, 0);
        origins.record(prefix + 2, SECOND, 0);

        assertThat(origins.find(prefix + 1, 1), equalTo(Optional.of(FIRST)));
        assertThat(origins.find(prefix + 2, 1), equalTo(Optional.of(SECOND)));
    }

    @Test
    void testFindWhenThereAreTooManyOrigins() {
        for (int number = 0; number <= StreamOrigins.MAXIMUM_ENTRIES; number++) {
            origins.record("r" + number, FIRST, 0);
        }

        assertThat(origins.find("r0", 0), equalTo(Optional.empty()));
        assertThat(origins.find("r1", 0), equalTo(Optional.of(FIRST)));
        assertThat(
                origins.find("r" + StreamOrigins.MAXIMUM_ENTRIES, 0), equalTo(Optional.of(FIRST)));
    }

    @Test
    void testFindWhenOriginsAreTooLong() {
        StreamOrigin origin = new StreamOrigin("s".repeat(256), "v".repeat(256));
        int count = StreamOrigins.MAXIMUM_CHARACTERS / 512;
        for (int number = 0; number < count; number++) {
            origins.record("r" + number, origin, 0);
        }

        assertThat(origins.find("r0", 0), equalTo(Optional.empty()));
        assertThat(origins.find("r" + (count - 1), 0), equalTo(Optional.of(origin)));
    }
}
