package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.Evacuations;
import io.chicorytrestle.core.placement.PlacementTopics;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.route.RequestLimits;
import io.chicorytrestle.core.route.RoutingTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
        state.replaceFromStore(List.of(FIRST), new StorePosition(0, 10), 0);
        state.applyFromPeer(
                new EndpointChanges(
                        "p",
                        new StorePosition(0, 10),
                        new StorePosition(0, 12),
                        List.of(SECOND),
                        List.of(),
                        List.of()),
                1);

        assertThat(servingEndpoints(), contains(FIRST, SECOND));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(0, 12)));
    }

    @Test
    void testApplyFromPeerWhenThePeerOmitsVersions() {
        ServingEndpoint versioned = FIRST.withVersion("v1");
        state.replaceFromStore(List.of(versioned), new StorePosition(0, 10), 0);
        state.applyFromPeer(
                new EndpointChanges(
                        "p",
                        new StorePosition(0, 10),
                        new StorePosition(0, 12),
                        List.of(FIRST),
                        List.of(),
                        List.of()),
                1);
        assertThat(servingEndpoints(), contains(versioned));

        state.applyFromPeer(List.of(FIRST, SECOND), new StorePosition(0, 13), "p", 2);
        assertThat(servingEndpoints(), contains(versioned, SECOND));
    }

    @Test
    void testSoleVersionWhenTheListingWasInTouchForLongEnough() {
        state.recordContact(0);
        state.replaceFromStore(List.of(FIRST.withVersion("v1")), new StorePosition(0, 10), 100);
        for (long nowMillis = 500; nowMillis < 30_500; nowMillis += 500) {
            assertThat(state.versions().soleVersion("s", nowMillis), equalTo(Optional.empty()));
            state.recordContact(nowMillis);
            state.step(nowMillis);
        }

        assertThat(state.versions().soleVersion("s", 30_500), equalTo(Optional.of("v1")));
    }

    @Test
    void testApplyFromPeerWhenRevisionsAreMissing() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(0, 10), 0);
        state.applyFromPeer(
                new EndpointChanges(
                        "p",
                        new StorePosition(0, 11),
                        new StorePosition(0, 12),
                        List.of(SECOND),
                        List.of(),
                        List.of()),
                1);

        assertThat(servingEndpoints(), contains(FIRST));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(0, 10)));
    }

    @Test
    void testApplyFromPeerWhenSnapshotIsOlder() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 10), 0);
        state.applyFromPeer(List.of(FIRST), new StorePosition(0, 9), "p", 1);

        assertThat(servingEndpoints(), contains(FIRST, SECOND));
    }

    /** Guards against an endpoint that a late listing of the store brings back. */
    @Test
    void testReplaceFromStoreWhenASnapshotHasOvertakenTheListing() {
        state.applyFromPeer(List.of(SECOND), new StorePosition(0, 6), "p", 0);
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 5), 1);
        state.applyFromPeer(
                new EndpointChanges(
                        "self",
                        new StorePosition(0, 6),
                        new StorePosition(0, 6),
                        List.of(),
                        List.of("1"),
                        List.of()),
                2);

        assertThat(servingEndpoints(), contains(SECOND));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(0, 6)));
    }

    @Test
    void testReplaceFromStoreWhenALaterListingFollows() {
        state.applyFromPeer(List.of(SECOND), new StorePosition(0, 6), "p", 0);
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 5), 1);
        state.replaceFromStore(List.of(FIRST), new StorePosition(0, 7), 2);

        assertThat(servingEndpoints(), contains(FIRST));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(0, 7)));
    }

    @Test
    void testReplaceFromStoreWhenAnOvertakenListingHasALeavingEndpoint() {
        state.applyFromPeer(List.of(FIRST, SECOND), new StorePosition(0, 6), "p", 0);
        state.replaceFromStore(List.of(FIRST.asLeaving(), SECOND), new StorePosition(0, 5), 1);

        assertThat(servingEndpoints(), contains(SECOND));
    }

    @Test
    void testMarkLeavingWhenPeerReportsIt() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 10), 0);
        state.markLeaving(FIRST.incarnation(), "p", 1);

        assertThat(servingEndpoints(), contains(SECOND));
        assertThat(unavailableIncarnations, contains(FIRST.incarnation()));
    }

    /** Guards against a leaving endpoint of which only an overtaken message tells. */
    @Test
    void testApplyFromPeerWhenAnOlderSnapshotHasALeavingEndpoint() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 10), 0);
        state.applyFromPeer(List.of(FIRST.asLeaving()), new StorePosition(0, 10), "p", 1);

        assertThat(servingEndpoints(), contains(SECOND));
    }

    @Test
    void testApplyFromPeerWhenOlderChangesHaveALeavingEndpoint() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 10), 0);
        state.replaceFromStore(List.of(SECOND), new StorePosition(0, 12), 1);
        state.applyFromPeer(
                new EndpointChanges(
                        "p",
                        new StorePosition(0, 10),
                        new StorePosition(0, 12),
                        List.of(FIRST.asLeaving()),
                        List.of("1"),
                        List.of()),
                2);

        assertThat(state.isLeaving(FIRST.incarnation()), is(true));
    }

    @Test
    void testMarkLeavingWhenTwoPeersReportIt() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 10), 0);
        state.markLeaving(FIRST.incarnation(), "p", 1);
        state.markLeaving(FIRST.incarnation(), "q", 2);

        assertThat(unavailableIncarnations, hasSize(1));
    }

    /** Guards against endpoints that are missed since the store lost its latest revisions. */
    @Test
    void testReplaceFromStoreWhenStoreIsRestored() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(1, 10), 0);
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(2, 4), 1);

        assertThat(servingEndpoints(), contains(FIRST, SECOND));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(2, 4)));
    }

    @Test
    void testStepWhenAnEntryIsMissingAfterTheStoreWasRestored() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(1, 10), 0);
        state.applyFromPeer(List.of(SECOND), new StorePosition(2, 4), "p", 100);
        state.step(2_099);
        assertThat(servingEndpoints(), contains(FIRST, SECOND));
        assertThat(unavailableIncarnations, empty());

        state.step(2_100);
        assertThat(servingEndpoints(), contains(SECOND));
        assertThat(unavailableIncarnations, contains(FIRST.incarnation()));
    }

    /** Guards against instances that use a gone endpoint longer since they hear of it later. */
    @Test
    void testStepWhenTheEraWasNoticedBeforeTheEndpoints() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(1, 10), 0);
        state.noticeEra(2, 100);
        state.applyFromPeer(List.of(SECOND), new StorePosition(2, 4), "p", 900);
        state.step(2_099);
        assertThat(servingEndpoints(), contains(FIRST, SECOND));

        state.step(2_100);
        assertThat(servingEndpoints(), contains(SECOND));
    }

    @Test
    void testReplaceFromStoreWhenARemovedEndpointIsListedAfterTheStoreWasRestored() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(1, 10), 0);
        state.replaceFromStore(List.of(FIRST), new StorePosition(1, 11), 1);
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(2, 10), 2);
        assertThat(servingEndpoints(), contains(FIRST));

        state.applyFromPeer(changesTo(new StorePosition(2, 10), 12), 3);
        assertThat(servingEndpoints(), contains(FIRST, SECOND));
    }

    /** Guards against a restore that is overlooked since the store counts its eras from zero. */
    @Test
    void testReplaceFromStoreWhenTheFirstEraWasZero() {
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(0, 10), 0);
        state.replaceFromStore(List.of(FIRST), new StorePosition(1, 4), 1);

        assertThat(servingEndpoints(), contains(FIRST, SECOND));
        assertThat(state.endpoints(), contains(FIRST));
    }

    @Test
    void testReplaceFromStoreWhenALeavingEndpointIsListedAfterTheStoreWasRestored() {
        state.replaceFromStore(List.of(FIRST.asLeaving(), SECOND), new StorePosition(1, 10), 0);
        state.replaceFromStore(List.of(FIRST, SECOND), new StorePosition(2, 4), 1);

        assertThat(servingEndpoints(), contains(SECOND));
        assertThat(state.endpoints(), hasItem(FIRST.asLeaving()));
    }

    @Test
    void testReplaceFromStoreWhenListingIsOfAnEarlierEra() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(2, 4), 0);
        state.replaceFromStore(List.of(FIRST.asLeaving(), SECOND), new StorePosition(1, 10), 1);

        assertThat(state.endpoints(), contains(FIRST.asLeaving()));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(2, 4)));
    }

    @Test
    void testApplyFromPeerWhenChangesAreOfAnEarlierEra() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(2, 4), 0);
        state.applyFromPeer(changesTo(new StorePosition(1, 3), 5), 1);

        assertThat(servingEndpoints(), contains(FIRST));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(2, 4)));
    }

    /** Guards against changes that follow a listing which this instance does not know. */
    @Test
    void testApplyFromPeerWhenChangesAreOfALaterEra() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(1, 10), 0);
        state.applyFromPeer(changesTo(new StorePosition(2, 10), 12), 1);

        assertThat(servingEndpoints(), contains(FIRST));
        assertThat(state.endpointPosition(), equalTo(new StorePosition(1, 10)));
    }

    @Test
    void testApplyFromPeerWhenSnapshotIsOfAnEarlierEra() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(2, 4), 0);
        state.applyFromPeer(List.of(SECOND), new StorePosition(1, 10), "p", 1);
        state.applyFromPeer(List.of(SECOND), new StorePosition(0, 99), "earlier build", 1);

        assertThat(servingEndpoints(), contains(FIRST));
    }

    @Test
    void testAcceptEvacuationsWhenStoreIsRestored() {
        Evacuations before = new Evacuations(new StorePosition(1, 10), Set.of());
        Evacuations restored = new Evacuations(new StorePosition(2, 4), Set.of("z"));

        assertThat(state.acceptEvacuations(before, "store", 0), is(true));
        assertThat(state.acceptEvacuations(restored, "store", 1), is(true));
        assertThat(state.acceptEvacuations(before, "p", 2), is(false));
        assertThat(state.evacuations(), equalTo(restored));
        assertThat(state.storeEra(), equalTo(2L));
    }

    @Test
    void testStepWhenAnEvacuationIsMissingAfterTheStoreWasRestored() {
        state.replaceFromStore(List.of(FIRST), new StorePosition(1, 10), 0);
        state.acceptEvacuations(new Evacuations(new StorePosition(1, 10), Set.of("z")), "store", 0);
        state.acceptEvacuations(new Evacuations(new StorePosition(2, 4), Set.of()), "store", 100);
        state.step(2_099);
        assertThat(blackboard.read(PlacementTopics.EVACUATIONS).zones(), contains("z"));
        assertThat(servingEndpoints(), is(empty()));

        state.step(2_100);
        assertThat(blackboard.read(PlacementTopics.EVACUATIONS).zones(), is(empty()));
        assertThat(servingEndpoints(), contains(FIRST));
    }

    private static EndpointChanges changesTo(StorePosition base, long revision) {
        return new EndpointChanges(
                "p", base, base.withRevision(revision), List.of(SECOND), List.of(), List.of());
    }

    private List<ServingEndpoint> servingEndpoints() {
        return blackboard.read(PlacementTopics.SERVING).endpointsOf("s");
    }

    private static RoutingTable table(long version) {
        return RoutingTable.of(version, List.of(), List.of(), List.of(), RequestLimits.DEFAULT);
    }
}
