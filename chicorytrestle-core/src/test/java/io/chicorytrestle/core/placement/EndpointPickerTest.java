package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EndpointPickerTest {

    private static final ServingEndpoint FIRST = Endpoints.ready("1", "a");

    private static final ServingEndpoint SECOND = Endpoints.ready("2", "b");

    private static final ServingEndpoint THIRD = Endpoints.ready("3", "c");

    private static final ServingView VIEW = Endpoints.view(FIRST, SECOND, THIRD);

    private static final EndpointRanking RANKING = new EndpointRanking("a");

    private final LoadTracker loadTracker = new LoadTracker();

    private final EndpointHealth health = new EndpointHealth();

    private final OutcomeTracker outcomeTracker = new OutcomeTracker();

    private final ZoneReachability zoneReachability = new ZoneReachability("a");

    private final EndpointBackoffs backoffs = new EndpointBackoffs();

    private final EndpointPicker picker =
            new EndpointPicker(
                    new PlacementSettings("a", 1.6, 2, 1),
                    loadTracker,
                    health,
                    outcomeTracker,
                    zoneReachability,
                    new PromptPartTracker(),
                    backoffs);

    @Test
    void testPickWhenTwoInstancesSeeTheSamePrompt() {
        EndpointPicker other =
                new EndpointPicker(
                        new PlacementSettings("c", 1.6, 2, 2),
                        new LoadTracker(),
                        new EndpointHealth(),
                        new OutcomeTracker(),
                        new ZoneReachability("c"),
                        new PromptPartTracker(),
                        new EndpointBackoffs());

        assertThat(
                pick(VIEW, "chat").endpoint(),
                equalTo(
                        other.pick(
                                        VIEW,
                                        Endpoints.SERVICE,
                                        Optional.of(Endpoints.prompt("chat")),
                                        endpoint -> true,
                                        0)
                                .get()
                                .endpoint()));
    }

    @Test
    void testPickWhenEndpointsAskedForNoRequests() {
        ServingEndpoint home = pick(VIEW, "chat").endpoint();
        backoffs.record(home.incarnation(), 1_000, 0);
        assertThat(pick(VIEW, "chat").endpoint().equals(home), is(false));

        VIEW.endpointsOf(Endpoints.SERVICE)
                .forEach(endpoint -> backoffs.record(endpoint.incarnation(), 1_000, 0));
        assertThat(
                picker.pick(
                                VIEW,
                                Endpoints.SERVICE,
                                Optional.of(Endpoints.prompt("chat")),
                                endpoint -> true,
                                0)
                        .isPresent(),
                is(false));
    }

    @Test
    void testPickWhenHomeIsAtItsLoadBound() {
        ServingEndpoint home = pick(VIEW, "chat").endpoint();
        loadTracker.recordReport(home.incarnation(), 60, 0);

        Placement placement = pick(VIEW, "chat");

        assertThat(placement.endpoint(), is(not(home)));
        assertThat(placement.reason(), equalTo(PlacementReason.SPILL));
    }

    @Test
    void testPickWhenHomeBrokeConnections() {
        ServingEndpoint home = pick(VIEW, "chat").endpoint();
        health.recordConnectionFailure(home.incarnation(), 0);

        assertThat(pick(VIEW, "chat").endpoint(), is(not(home)));
    }

    @Test
    void testPickWhenZoneOfHomeIsOutOfReach() {
        zoneReachability.recordContact("a", 2_000);
        zoneReachability.recordContact("b", 0);
        zoneReachability.recordContact("c", 0);

        Placement placement =
                picker.pick(
                                VIEW,
                                Endpoints.SERVICE,
                                Optional.of(Endpoints.prompt("chat")),
                                endpoint -> true,
                                2_100)
                        .get();

        assertThat(placement.endpoint(), equalTo(FIRST));
    }

    @Test
    void testPickWhenRecentlyJoinedEndpointBecameHome() {
        ServingEndpoint home = pick(VIEW, "chat").endpoint();
        List<ServingEndpoint> others =
                VIEW.endpointsOf(Endpoints.SERVICE).stream()
                        .filter(endpoint -> !endpoint.equals(home))
                        .toList();
        ServingView viewAfterJoin =
                new ServingView(
                        Map.of(Endpoints.SERVICE, VIEW.endpointsOf(Endpoints.SERVICE)),
                        List.of(),
                        Set.of(home.incarnation()));
        ServingEndpoint previousHome =
                RANKING.home(others, new PromptPart("chat", 400)).orElseThrow();

        assertThat(
                pick(viewAfterJoin, "chat").fetchAddress(),
                equalTo(Optional.of(previousHome.address())));
    }

    @Test
    void testPickWhenPreviousHomeIsLeaving() {
        ServingEndpoint home = pick(VIEW, "chat").endpoint();
        List<ServingEndpoint> others =
                VIEW.endpointsOf(Endpoints.SERVICE).stream()
                        .filter(endpoint -> !endpoint.equals(home))
                        .toList();
        ServingView viewAfterLeave =
                new ServingView(
                        Map.of(Endpoints.SERVICE, others), List.of(home.asLeaving()), Set.of());

        Placement placement = pick(viewAfterLeave, "chat");

        assertThat(placement.endpoint(), is(not(home)));
        assertThat(placement.fetchAddress(), equalTo(Optional.of(home.address())));
    }

    @Test
    void testPickWhenStreamIsLongAndItsPromptIsShort() {
        for (int chat = 0; chat < 20; chat++) {
            Prompt longStream =
                    new Prompt(
                            "m",
                            700,
                            200,
                            List.of(
                                    new PromptPart("system", 100),
                                    new PromptPart("chat-" + chat, 500),
                                    new PromptPart("own", 100)));

            Placement placement =
                    picker.pick(
                                    VIEW,
                                    Endpoints.SERVICE,
                                    Optional.of(longStream),
                                    endpoint -> true,
                                    0)
                            .get();
            ServingEndpoint zoneIndependentHome =
                    RANKING.home(
                                    VIEW.endpointsOf(Endpoints.SERVICE),
                                    longStream.lastSharedPart().orElseThrow())
                            .orElseThrow();

            assertThat(placement.endpoint(), equalTo(FIRST));
            if (!zoneIndependentHome.equals(FIRST)) {
                assertThat(
                        placement.fetchAddress(),
                        equalTo(Optional.of(zoneIndependentHome.address())));
            }
        }
    }

    @Test
    void testPickWhenPlainRequestFindsLocalEndpointBusy() {
        loadTracker.recordReport(FIRST.incarnation(), 40, 0);

        Placement placement =
                picker.pick(VIEW, Endpoints.SERVICE, Optional.empty(), endpoint -> true, 0).get();

        assertThat(placement.endpoint(), is(not(FIRST)));
        assertThat(placement.reason(), equalTo(PlacementReason.LEAST_LOADED));
    }

    @Test
    void testPickWhenOneEndpointFailsMostRequests() {
        for (int answers = 0; answers < 20; answers++) {
            outcomeTracker.recordOutcome(FIRST.incarnation(), false, 0);
            outcomeTracker.recordOutcome(SECOND.incarnation(), true, 0);
            outcomeTracker.recordOutcome(THIRD.incarnation(), true, 0);
        }

        assertThat(
                picker.pick(VIEW, Endpoints.SERVICE, Optional.empty(), endpoint -> true, 0)
                        .get()
                        .endpoint(),
                is(not(FIRST)));
    }

    /**
     * Guards against picking endpoints that fail part of their requests while others are healthy:
     * two of three endpoints fail two in five requests for some seconds.
     */
    @Test
    void testPickWhenMostEndpointsFailPartOfTheirRequests() {
        for (int answers = 0; answers < 10; answers++) {
            boolean isSuccess = answers % 5 >= 2;
            outcomeTracker.recordOutcome(FIRST.incarnation(), isSuccess, 0);
            outcomeTracker.recordOutcome(SECOND.incarnation(), isSuccess, 0);
            outcomeTracker.recordOutcome(THIRD.incarnation(), true, 0);
        }

        for (int chat = 0; chat < 10; chat++) {
            assertThat(pick(VIEW, "chat-" + chat).endpoint(), equalTo(THIRD));
        }
    }

    @Test
    void testPickWhenAllEndpointsWereTried() {
        Set<String> tried = Set.of(FIRST.incarnation(), SECOND.incarnation(), THIRD.incarnation());

        assertThat(
                picker.pick(
                        VIEW,
                        Endpoints.SERVICE,
                        Optional.empty(),
                        endpoint -> !tried.contains(endpoint.incarnation()),
                        0),
                equalTo(Optional.empty()));
    }

    private Placement pick(ServingView view, String shared) {
        return picker.pick(
                        view,
                        Endpoints.SERVICE,
                        Optional.of(Endpoints.prompt(shared)),
                        endpoint -> true,
                        0)
                .get();
    }
}
