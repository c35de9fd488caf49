package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EndpointRankingTest {

    private static final int ENDPOINTS = 56;

    private final EndpointRanking ranking = new EndpointRanking("a");

    private final List<ServingEndpoint> endpoints = new ArrayList<>();

    EndpointRankingTest() {
        for (int index = 0; index < ENDPOINTS; index++) {
            endpoints.add(Endpoints.ready(Integer.toString(index), index % 2 == 0 ? "a" : "b"));
        }
    }

    @Test
    void testHomeWhenComparedWithTheWholeRanking() {
        for (int chat = 0; chat < 200; chat++) {
            Prompt prompt = Endpoints.prompt("chat-" + chat);

            assertThat(
                    ranking.home(endpoints, prompt),
                    equalTo(Optional.of(ranking.rank(endpoints, prompt).get(0))));
        }
    }

    @Test
    void testHomeWhenManyChatsAreSpread() {
        Map<String, Integer> chatsByEndpoint = new HashMap<>();
        for (int chat = 0; chat < ENDPOINTS * 100; chat++) {
            ServingEndpoint home =
                    ranking.home(endpoints, new PromptPart("chat-" + chat, 400)).orElseThrow();
            chatsByEndpoint.merge(home.id(), 1, Integer::sum);
        }

        assertThat(chatsByEndpoint.size(), equalTo(ENDPOINTS));
        chatsByEndpoint
                .values()
                .forEach(chats -> assertThat(chats, both(greaterThan(60)).and(lessThan(140))));
    }

    @Test
    void testHomeWhenAnotherEndpointLeaves() {
        for (int chat = 0; chat < 200; chat++) {
            PromptPart part = new PromptPart("chat-" + chat, 400);
            ServingEndpoint home = ranking.home(endpoints, part).orElseThrow();
            List<ServingEndpoint> remaining = new ArrayList<>(endpoints);
            remaining.remove(home.equals(endpoints.get(0)) ? 1 : 0);

            assertThat(ranking.home(remaining, part), equalTo(Optional.of(home)));
        }
    }
}
