package io.chicorytrestle.gateway.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Guards the events of a stream against the sizes of the pieces in which its bytes arrive. */
class EventStreamSplitterPropertyTest {

    private static final int TRIES = 2_000;

    /** The stated bound of one event, in bytes. */
    private static final int EVENT_BOUND_BYTES = 131_072;

    @Property(tries = TRIES, seed = "39")
    void testEventsWhenBytesAreCut(
            @ForAll("streams") String stream, @ForAll("cuts") List<Integer> sizes) {
        assertThat(split(cut(stream, sizes)), equalTo(split(List.of(stream))));
    }

    @Property(tries = 300, seed = "39")
    void testEventsWhenAnEventIsAboutAsLargeAsTheBound(
            @ForAll("largeStreams") String stream, @ForAll("largeCuts") List<Integer> sizes) {
        assertThat(split(cut(stream, sizes)), equalTo(split(List.of(stream))));
    }

    @Provide
    Arbitrary<String> streams() {
        return Arbitraries.frequencyOf(
                        Tuple.of(4, Arbitraries.of("\n", "\r\n", "\r")),
                        Tuple.of(2, Arbitraries.of("id: 1", "id:7", "data: a", ": alive", "x")))
                .list()
                .ofMaxSize(40)
                .map(parts -> String.join("", parts));
    }

    @Provide
    Arbitrary<List<Integer>> cuts() {
        return Arbitraries.integers().between(1, 9).list().ofMaxSize(200);
    }

    /** An event, one that is up to eight bytes smaller or larger than the bound, and another. */
    @Provide
    Arbitrary<String> largeStreams() {
        return Combinators.combine(
                        Arbitraries.integers().between(-8, 8), Arbitraries.of("\n", "\r\n"))
                .as(
                        (difference, lineEnd) -> {
                            String end = lineEnd + lineEnd;
                            int size = EVENT_BOUND_BYTES + difference - end.length();
                            return "id: 1" + end + "x".repeat(size) + end + "id: 3" + end;
                        });
    }

    @Provide
    Arbitrary<List<Integer>> largeCuts() {
        return Arbitraries.integers().between(1, 40_000).list().ofMaxSize(20);
    }

    /** Cuts a text into pieces of the given sizes and a last one. */
    private static List<String> cut(String text, List<Integer> sizes) {
        List<String> pieces = new ArrayList<>();
        int start = 0;
        for (int size : sizes) {
            int end = Math.min(text.length(), start + size);
            pieces.add(text.substring(start, end));
            start = end;
        }
        pieces.add(text.substring(start));
        return pieces;
    }

    /** Splits a stream that arrives in pieces, up to the first event that is too large. */
    private static Outcome split(List<String> pieces) {
        EventStreamSplitter splitter = new EventStreamSplitter();
        StringBuilder events = new StringBuilder();
        for (String piece : pieces) {
            if (!splitter.isEventTooLarge()) {
                byte[] bytes = piece.getBytes(StandardCharsets.ISO_8859_1);
                events.append(
                        new String(
                                splitter.append(Unpooled.wrappedBuffer(bytes)),
                                StandardCharsets.ISO_8859_1));
            }
            assertThat(splitter.partialEventBytes(), lessThanOrEqualTo(EVENT_BOUND_BYTES));
        }
        boolean isTooLarge = splitter.isEventTooLarge();
        String remainder =
                isTooLarge ? "" : new String(splitter.takeRemainder(), StandardCharsets.ISO_8859_1);
        return new Outcome(events.toString(), remainder, splitter.lastEventId(), isTooLarge);
    }

    private record Outcome(
            String events, String remainder, Optional<String> lastEventId, boolean isTooLarge) {}
}
