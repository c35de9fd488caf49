package io.chicorytrestle.standin.model;

import static org.hamcrest.CoreMatchers.is;
import static org.hamcrest.MatcherAssert.assertThat;

import io.chicorytrestle.core.endpoint.Usage;
import io.chicorytrestle.core.identity.ChatKey;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EngineModelTest {

    private static final ChatKey CHAT = new ChatKey("sicilia", "chat-1");

    private static final ChatKey OTHER = new ChatKey("sicilia", "chat-2");

    private final EngineModel model = new EngineModel(new EngineProfile(2, 1_000, 100, 500, 1));

    @Test
    void testTimesOfRequestWhenAlone() {
        model.submit("a", CHAT, 100, 10, 0, 0);

        List<EngineEvent> events = model.advance(1_000);

        assertThat(
                events,
                is(
                        List.<EngineEvent>of(
                                new EngineEvent.Started("a", 0, 0),
                                new EngineEvent.Progressed("a", 1, 110),
                                new EngineEvent.Finished("a", new Usage(100, 0, 10), 200))));
    }

    @Test
    void testRequestsSlowEachOtherWhenBatchIsFull() {
        model.submit("a", CHAT, 100, 10, 0, 0);
        model.submit("b", OTHER, 100, 10, 0, 0);

        assertThat(finishedAt("b", model.advance(1_000)), is(300L));
    }

    @Test
    void testCachedTokensWhenChatReturns() {
        model.submit("a", CHAT, 100, 10, 0, 0);
        model.advance(1_000);
        model.submit("b", CHAT, 150, 10, 0, 1_000);

        assertThat(
                model.advance(1_000),
                is(List.<EngineEvent>of(new EngineEvent.Started("b", 110, 1_000))));
    }

    @Test
    void testLargerPriorityStartsFirstWhenWaiting() {
        EngineModel singleSlotModel = new EngineModel(new EngineProfile(1, 1_000, 100, 500, 2));
        singleSlotModel.submit("a", CHAT, 100, 10, 0, 0);
        singleSlotModel.submit("low", CHAT, 100, 10, 0, 0);
        singleSlotModel.submit("high", OTHER, 100, 10, 5, 0);

        assertThat(finishedAt("high", singleSlotModel.advance(400)), is(400L));
    }

    @Test
    void testRefusedWhenQueueIsFull() {
        model.submit("a", CHAT, 100, 10, 0, 0);
        model.submit("b", CHAT, 100, 10, 0, 0);
        model.submit("c", CHAT, 100, 10, 0, 0);

        assertThat(model.submit("d", CHAT, 100, 10, 0, 0), is(false));
        assertThat(model.load(), is(new EngineLoad(2, 1)));
    }

    @Test
    void testSlotIsFreeWhenCancelled() {
        model.submit("a", CHAT, 100, 10, 0, 0);

        assertThat(model.cancel("a", 50), is(true));
        assertThat(model.cancel("a", 50), is(false));
        assertThat(model.load(), is(new EngineLoad(0, 0)));
        assertThat(model.nextEventMillis(), is(OptionalLong.empty()));
    }

    @Test
    void testLeastRecentlyUsedChatIsEvictedWhenCacheIsFull() {
        model.importCache(CHAT, 300, 1);
        model.importCache(OTHER, 300, 2);

        assertThat(model.exportCache(CHAT), is(0));
        assertThat(model.exportCache(OTHER), is(300));
        assertThat(
                model.cacheEvents(1, 2),
                is(
                        List.of(
                                new CacheEvent(2, OTHER, 300, CacheEvent.Kind.STORED, 2),
                                new CacheEvent(3, CHAT, 300, CacheEvent.Kind.EVICTED, 2))));
    }

    @Test
    void testNextEventIsFirstTokenThenFinish() {
        model.submit("a", CHAT, 100, 10, 0, 0);

        assertThat(model.nextEventMillis(), is(OptionalLong.of(110)));
        model.advance(110);
        assertThat(model.nextEventMillis(), is(OptionalLong.of(200)));
    }

    private static long finishedAt(String requestId, List<EngineEvent> events) {
        return events.stream()
                .filter(event -> event instanceof EngineEvent.Finished)
                .filter(event -> event.requestId().equals(requestId))
                .findFirst()
                .orElseThrow()
                .atMillis();
    }
}
