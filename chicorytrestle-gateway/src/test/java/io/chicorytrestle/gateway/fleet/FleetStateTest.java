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

class FleetStateTest {

    private static final ServingEndpoint FIRST =
            new ServingEndpoint("1", "s", "10.0.0.1:8", "z", 4, false, 1);

    private static final ServingEndpoint SECOND =
            new ServingEndpoint("2", "s", "10.0.0.2:8", "z", 4, false, 1);

    private final Blackboard blackboard = new Blackboard();

    private final List<String> unavailableIncarnations = new ArrayList<>();

    private final FleetState state =
            new FleetState(blackboard, 1_400, unavailableIncarnations::add);

    @Test
    void testAcceptTableWhenOlderTableArrivesLater() {
        state.acceptTable(table(7), new byte[] {7}, "store");

        assertThat(state.acceptTable(table(6), new byte[] {6}, "peer"), is(false));
        assertThat(state.tableVersion(), equalTo(7L));
        assertThat(state.publishedTable(), equalTo(new byte[] {7}));
    }

    @Test
    void testApplyFromPeerWhenChangesAreContiguous() {
        state.replaceFromStore(List.of(FIRST), 10, 0);
        state.applyFromPeer(
                new EndpointChanges("p", 10, 12, List.of(SECOND), List.of(), List.of()), 1);

        assertThat(servingEndpoints(), contains(FIRST, SECOND));
        assertThat(state.endpointRevision(), equalTo(12L));
    }

    @Test
    void testApplyFromPeerWhenRevisionsAreMissing() {
        state.replaceFromStore(List.of(FIRST), 10, 0);
        state.applyFromPeer(
                new EndpointChanges("p", 11, 12, List.of(SECOND), List.of(), List.of()), 1);

        assertThat(servingEndpoints(), contains(FIRST));
        assertThat(state.endpointRevision(), equalTo(10L));
    }

    @Test
    void testApplyFromPeerWhenSnapshotIsOlder() {
        state.replaceFromStore(List.of(FIRST, SECOND), 10, 0);
        state.applyFromPeer(List.of(FIRST), 9, "p", 1);

        assertThat(servingEndpoints(), contains(FIRST, SECOND));
    }

    /** Guards against an endpoint that a late listing of the store brings back. */
    @Test
    void testReplaceFromStoreWhenASnapshotHasOvertakenTheListing() {
        state.applyFromPeer(List.of(SECOND), 6, "p", 0);
        state.replaceFromStore(List.of(FIRST, SECOND), 5, 1);
        state.applyFromPeer(
                new EndpointChanges("self", 6, 6, List.of(), List.of("1"), List.of()), 2);

        assertThat(servingEndpoints(), contains(SECOND));
        assertThat(state.endpointRevision(), equalTo(6L));
    }

    @Test
    void testReplaceFromStoreWhenALaterListingFollows() {
        state.applyFromPeer(List.of(SECOND), 6, "p", 0);
        state.replaceFromStore(List.of(FIRST, SECOND), 5, 1);
        state.replaceFromStore(List.of(FIRST), 7, 2);

        assertThat(servingEndpoints(), contains(FIRST));
        assertThat(state.endpointRevision(), equalTo(7L));
    }

    @Test
    void testReplaceFromStoreWhenAnOvertakenListingHasALeavingEndpoint() {
        state.applyFromPeer(List.of(FIRST, SECOND), 6, "p", 0);
        state.replaceFromStore(List.of(FIRST.asLeaving(), SECOND), 5, 1);

        assertThat(servingEndpoints(), contains(SECOND));
    }

    @Test
    void testMarkLeavingWhenPeerReportsIt() {
        state.replaceFromStore(List.of(FIRST, SECOND), 10, 0);
        state.markLeaving(FIRST.incarnation(), "p", 1);

        assertThat(servingEndpoints(), contains(SECOND));
        assertThat(unavailableIncarnations, contains(FIRST.incarnation()));
    }

    /** Guards against a leaving endpoint of which only an overtaken message tells. */
    @Test
    void testApplyFromPeerWhenAnOlderSnapshotHasALeavingEndpoint() {
        state.replaceFromStore(List.of(FIRST, SECOND), 10, 0);
        state.applyFromPeer(List.of(FIRST.asLeaving()), 10, "p", 1);

        assertThat(servingEndpoints(), contains(SECOND));
    }

    @Test
    void testApplyFromPeerWhenOlderChangesHaveALeavingEndpoint() {
        state.replaceFromStore(List.of(FIRST, SECOND), 10, 0);
        state.replaceFromStore(List.of(SECOND), 12, 1);
        state.applyFromPeer(
                new EndpointChanges(
                        "p", 10, 12, List.of(FIRST.asLeaving()), List.of("1"), List.of()),
                2);

        assertThat(state.isLeaving(FIRST.incarnation()), is(true));
    }

    @Test
    void testMarkLeavingWhenTwoPeersReportIt() {
        state.replaceFromStore(List.of(FIRST, SECOND), 10, 0);
        state.markLeaving(FIRST.incarnation(), "p", 1);
        state.markLeaving(FIRST.incarnation(), "q", 2);

        assertThat(unavailableIncarnations, hasSize(1));
    }

    private List<ServingEndpoint> servingEndpoints() {
        return blackboard.read(PlacementTopics.SERVING).endpointsOf("s");
    }

    private static RoutingTable table(long version) {
        return RoutingTable.of(version, List.of(), List.of(), List.of(), RequestLimits.DEFAULT);
    }
}
