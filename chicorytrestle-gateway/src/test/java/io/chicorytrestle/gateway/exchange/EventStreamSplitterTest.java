package io.chicorytrestle.gateway.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EventStreamSplitterTest {

    private final EventStreamSplitter splitter = new EventStreamSplitter();

    @Test
    void testAppendWhenEventIsSplitAcrossChunks() {
        assertThat(append("id: 1\ndata: a\n\nid: 2\nda"), equalTo("id: 1\ndata: a\n\n"));
        assertThat(splitter.lastEventId(), equalTo(Optional.of("1")));
        assertThat(append("ta: b\n\n"), equalTo("id: 2\ndata: b\n\n"));
        assertThat(splitter.lastEventId(), equalTo(Optional.of("2")));
    }

    @Test
    void testAppendWhenLinesEndWithCarriageReturns() {
        assertThat(append("id: 7\r\ndata: a\r\n\r\n"), equalTo("id: 7\r\ndata: a\r\n\r\n"));
        assertThat(splitter.lastEventId(), equalTo(Optional.of("7")));
    }

    @Test
    void testAppendWhenChunkSizesVary() {
        StringBuilder sent = new StringBuilder();
        for (int number = 1; number <= 50; number++) {
            sent.append("id: ").append(number).append("\ndata: x").append(number).append("\n\n");
        }
        Random random = new Random(3);
        StringBuilder forwarded = new StringBuilder();
        for (int start = 0; start < sent.length(); ) {
            int end = Math.min(sent.length(), start + 1 + random.nextInt(9));
            forwarded.append(append(sent.substring(start, end)));
            start = end;
        }

        assertThat(forwarded.toString(), equalTo(sent.toString()));
        assertThat(splitter.lastEventId(), equalTo(Optional.of("50")));
    }

    @Test
    void testIsInsideEventWhenStreamEndsWithoutBlankLine() {
        append("id: 1\ndata: a\n\ntail");
        assertThat(splitter.isInsideEvent(), equalTo(true));

        splitter.resume();
        assertThat(splitter.isInsideEvent(), equalTo(false));
    }

    @Test
    void testIsInsideEventWhenOnlyBlankLineAndCommentFollowEvent() {
        append("id: 1\ndata: a\n\n");
        assertThat(append("\n: alive"), equalTo(""));

        assertThat(splitter.isInsideEvent(), equalTo(false));
        assertThat(
                new String(splitter.takeRemainder(), StandardCharsets.UTF_8), equalTo("\n: alive"));
        assertThat(splitter.takeRemainder().length, equalTo(0));
    }

    /** Guards against a stream without an end of an event, which is kept whole. */
    @Test
    void testAppendWhenEventNeverEnds() {
        assertThat(append("id: 1\n\n"), equalTo("id: 1\n\n"));
        for (int piece = 0; piece < 20; piece++) {
            assertThat(append("x".repeat(16_384)), equalTo(""));
        }
        assertThat(splitter.isEventTooLarge(), equalTo(true));
        assertThat(splitter.partialEventBytes(), lessThanOrEqualTo(131_072));

        splitter.resume();
        assertThat(splitter.isEventTooLarge(), equalTo(false));
        assertThat(append("id: 2\n\n"), equalTo("id: 2\n\n"));
    }

    private String append(String text) {
        return new String(
                splitter.append(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8))),
                StandardCharsets.UTF_8);
    }
}
