package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.core.route.RoutingTable;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetKnowledgeTest {

    private static final ServingEndpoint FIRST =
            new ServingEndpoint("1", "s", "10.0.0.1:8", "z", 4, false, 1);

    private static final ServingEndpoint SECOND =
            new ServingEndpoint("2", "s", "10.0.0.2:8", "z", 4, false, 1);

    private final Blackboard blackboard = new Blackboard();

    private final List<String> departures = new ArrayList<>();

    private final FleetKnowledge knowledge = new FleetKnowledge(blackboard, 1_400, departures::add);

    @Test
    void testAcceptWhenOlderTableArrivesLater() {
        knowledge.accept(table(7), new byte[] {7}, "store");

        assertThat(knowledge.accept(table(6), new byte[] {6}, "peer"), is(false));
        assertThat(knowledge.version(), equalTo(7L));
        assertThat(knowledge.publishedTable(), equalTo(new byte[] {7}));
    }

    @Test
    void testToldWhenChangesFollowOnWhatIsKnown() {
        knowledge.listed(List.of(FIRST), 10, 0);
        knowledge.told(new EndpointChanges("p", 10, 12, List.of(SECOND), List.of()), 1);

        assertThat(serving(), contains(FIRST, SECOND));
        assertThat(knowledge.endpointRevision(), equalTo(12L));
    }

    @Test
    void testToldWhenChangesBetweenAreMissing() {
        knowledge.listed(List.of(FIRST), 10, 0);
        knowledge.told(new EndpointChanges("p", 11, 12, List.of(SECOND), List.of()), 1);

        assertThat(serving(), contains(FIRST));
        assertThat(knowledge.endpointRevision(), equalTo(10L));
    }

    @Test
    void testToldWhenSnapshotIsOlder() {
        knowledge.listed(List.of(FIRST, SECOND), 10, 0);
        knowledge.told(List.of(FIRST), 9, "p", 1);

        assertThat(serving(), contains(FIRST, SECOND));
    }

    @Test
    void testLeavingWhenPeerTells() {
        knowledge.listed(List.of(FIRST, SECOND), 10, 0);
        knowledge.leaving(FIRST.incarnation(), "p", 1);

        assertThat(serving(), contains(SECOND));
        assertThat(departures, contains(FIRST.incarnation()));
    }

    @Test
    void testLeavingWhenTwoPeersTell() {
        knowledge.listed(List.of(FIRST, SECOND), 10, 0);
        knowledge.leaving(FIRST.incarnation(), "p", 1);
        knowledge.leaving(FIRST.incarnation(), "q", 2);

        assertThat(departures, hasSize(1));
    }

    private List<ServingEndpoint> serving() {
        return blackboard.read(PlacementTopics.SERVING).of("s");
    }

    private static RoutingTable table(long version) {
        return RoutingTable.of(version, List.of(), List.of(), List.of(), RequestLimits.DEFAULT);
    }
}
