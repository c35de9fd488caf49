package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

    private static final ServingEndpoint FIRST = Endpoints.ready("1", "a");

    private static final ServingEndpoint SECOND = Endpoints.ready("2", "a");

    private static final ServingEndpoint THIRD = Endpoints.ready("3", "a");

    private final EndpointDirectory directory = new EndpointDirectory(1_400);

    @Test
    void testViewWhenEndpointLeavesAndAStaleEntryArrives() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.put(FIRST.asLeaving(), 1);
        directory.put(FIRST, 2);

        assertThat(directory.view(3).endpointsOf(Endpoints.SERVICE), contains(SECOND));
    }

    @Test
    void testViewWhenEndpointRestartsAfterLeaving() {
        directory.put(FIRST.asLeaving(), 0);
        ServingEndpoint restarted =
                new ServingEndpoint("1", Endpoints.SERVICE, FIRST.address(), "a", 64, false, 99);
        directory.put(restarted, 1);

        assertThat(directory.view(2).endpointsOf(Endpoints.SERVICE), contains(restarted));
    }

    @Test
    void testViewWhenOneOfManyEntriesVanishes() {
        directory.replace(List.of(FIRST, SECOND, THIRD), 0);
        directory.remove("1", 10);

        assertThat(directory.view(11).endpointsOf(Endpoints.SERVICE), contains(SECOND, THIRD));
    }

    @Test
    void testViewWhenMostEntriesLapseTogether() {
        directory.replace(List.of(FIRST, SECOND, THIRD), 0);
        directory.replace(List.of(THIRD), 10);

        assertThat(directory.view(11).endpointsOf(Endpoints.SERVICE), hasItem(FIRST));
        assertThat(directory.view(1_410).endpointsOf(Endpoints.SERVICE), contains(THIRD));
    }

    @Test
    void testViewWhenLeavingEntryVanishes() {
        directory.put(FIRST.asLeaving(), 0);
        directory.remove("1", 10);

        assertThat(directory.view(11).endpointsOf(Endpoints.SERVICE), empty());
    }

    @Test
    void testHasEndpointsWhenTheLastOneLeavesAndVanishes() {
        assertThat(directory.view(0).hasEndpoints(), equalTo(false));
        directory.put(FIRST, 1);
        assertThat(directory.view(2).hasEndpoints(), equalTo(true));
        directory.markLeaving(FIRST.incarnation(), 3);
        assertThat(directory.view(4).hasEndpoints(), equalTo(true));
        directory.remove("1", 5);
        assertThat(directory.view(6).hasEndpoints(), equalTo(false));
    }

    @Test
    void testMarkLeavingWhenPeerReportsBeforeTheStore() {
        directory.replace(List.of(FIRST, SECOND), 0);

        assertThat(
                directory
                        .markLeaving(FIRST.incarnation(), 1)
                        .map(EndpointDirectory.Change::kind)
                        .get(),
                equalTo(EndpointDirectory.ChangeKind.LEAVING));
        assertThat(directory.view(2).endpointsOf(Endpoints.SERVICE), contains(SECOND));
        assertThat(directory.view(2).leaving(), contains(FIRST.asLeaving()));
    }

    /** Guards against a leaving endpoint that is a last resort because its entry lapsed. */
    @Test
    void testMarkLeavingWhenEntryVanishedBefore() {
        directory.replace(List.of(FIRST), 0);
        directory.replace(List.of(), 1);

        assertThat(directory.markLeaving(FIRST.incarnation(), 2).isPresent(), equalTo(true));
        assertThat(directory.view(3).endpointsOf(Endpoints.SERVICE), empty());
        assertThat(directory.leavingIncarnations(), contains(FIRST.incarnation()));
    }

    @Test
    void testMarkLeavingWhenListingsAndANewIncarnationFollow() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.markLeaving(FIRST.incarnation(), 1);
        directory.replace(List.of(SECOND), 2);
        directory.replace(List.of(FIRST, SECOND), 3);
        assertThat(directory.view(4).endpointsOf(Endpoints.SERVICE), contains(SECOND));

        ServingEndpoint next =
                new ServingEndpoint("1", Endpoints.SERVICE, FIRST.address(), "a", 64, false, 99);
        directory.replace(List.of(next, SECOND), 5);
        assertThat(directory.view(6).endpointsOf(Endpoints.SERVICE), contains(next, SECOND));
    }

    /**
     * Guards against marks of leaving incarnations that pile up in a process that runs for long.
     */
    @Test
    void testIsLeavingWhenAnIncarnationWasNotListedForLong() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.markLeaving(FIRST.incarnation(), 0);
        directory.markLeaving(SECOND.incarnation(), 0);
        directory.markLeaving(THIRD.incarnation(), 0);
        directory.view(500_000);
        directory.remove("1", 500_000);
        directory.view(1_099_999);
        assertThat(directory.isLeaving(FIRST.incarnation()), equalTo(true));
        directory.view(1_100_000);

        assertThat(directory.isLeaving(FIRST.incarnation()), equalTo(false));
        assertThat(directory.isLeaving(SECOND.incarnation()), equalTo(true));
        assertThat(directory.isLeaving(THIRD.incarnation()), equalTo(false));
    }

    /** Guards against live endpoints that get no requests since their entries lapsed. */
    @Test
    void testViewWhenARestoredStoreLacksAnEntry() {
        directory.replace(List.of(FIRST, SECOND, THIRD), 0);

        assertThat(directory.replaceRestored(List.of(SECOND, THIRD), 100, 100), empty());
        assertThat(directory.all(), containsInAnyOrder(SECOND, THIRD));
        assertThat(ready(2_099), contains(FIRST, SECOND, THIRD));
        assertThat(directory.removeOverdue(2_099), empty());
        assertThat(ready(2_100), contains(SECOND, THIRD));
        assertThat(directory.removeOverdue(2_100), contains(vanished(FIRST)));
        assertThat(directory.removeOverdue(2_101), empty());
    }

    /** Guards against an endpoint that is used for another while once it counts as gone. */
    @Test
    void testViewWhenTheOnlyEntryStaysMissing() {
        directory.replace(List.of(FIRST), 0);
        directory.replaceRestored(List.of(), 100, 100);
        assertThat(ready(2_099), contains(FIRST));

        assertThat(directory.removeOverdue(2_100), contains(vanished(FIRST)));
        assertThat(ready(2_100), empty());
    }

    @Test
    void testViewWhenAMissingEntryComesBack() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.replaceRestored(List.of(SECOND), 100, 100);

        assertThat(directory.put(FIRST, 1_000).isPresent(), equalTo(false));
        assertThat(directory.removeOverdue(2_100), empty());
        assertThat(directory.view(2_100).recentlyJoined(), empty());
        assertThat(ready(2_100), contains(FIRST, SECOND));
    }

    @Test
    void testViewWhenAMissingEndpointLeaves() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.replaceRestored(List.of(SECOND), 100, 100);

        assertThat(directory.markLeaving(FIRST.incarnation(), 200).isPresent(), equalTo(true));
        assertThat(ready(201), contains(SECOND));
        assertThat(directory.leavingIncarnations(), contains(FIRST.incarnation()));
    }

    @Test
    void testViewWhenAMissingEndpointIsRemoved() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.replaceRestored(List.of(SECOND), 100, 100);

        assertThat(directory.remove("1", 200).get(), equalTo(vanished(FIRST)));
        assertThat(ready(201), contains(SECOND));
    }

    @Test
    void testViewWhenAMissingEndpointRestarts() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.replaceRestored(List.of(SECOND), 100, 100);
        ServingEndpoint next =
                new ServingEndpoint("1", Endpoints.SERVICE, FIRST.address(), "a", 64, false, 99);
        directory.put(next, 200);

        assertThat(ready(201), contains(next, SECOND));
    }

    @Test
    void testViewWhenTheStoreIsRestoredTwice() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.replaceRestored(List.of(SECOND), 100, 100);
        directory.replaceRestored(List.of(SECOND), 1_100, 1_100);

        assertThat(ready(3_099), contains(FIRST, SECOND));
        assertThat(ready(3_100), contains(SECOND));
    }

    @Test
    void testReplaceRestoredWhenALeavingEntryIsMissing() {
        directory.replace(List.of(FIRST.asLeaving(), SECOND), 0);

        assertThat(
                directory.replaceRestored(List.of(SECOND), 100, 100),
                contains(vanished(FIRST.asLeaving())));
        assertThat(ready(101), contains(SECOND));
    }

    /** Guards against requests to an endpoint whose removal the copy of the store lacks. */
    @Test
    void testViewWhenARestoredStoreListsARemovedEndpoint() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.remove("1", 100);
        directory.replaceRestored(List.of(FIRST, SECOND), 200, 200);
        directory.replace(List.of(FIRST, SECOND), 300);

        assertThat(directory.all(), containsInAnyOrder(FIRST, SECOND));
        assertThat(ready(4_199), contains(SECOND));
        assertThat(ready(4_200), contains(FIRST, SECOND));
    }

    @Test
    void testViewWhenARemovedEndpointIsWrittenAfterTheRestore() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.remove("1", 100);
        directory.replaceRestored(List.of(FIRST, SECOND), 200, 200);
        directory.put(FIRST, 300);

        assertThat(ready(301), contains(FIRST, SECOND));
    }

    @Test
    void testViewWhenARemovedEndpointIsRemovedAgainAfterTheRestore() {
        directory.replace(List.of(FIRST), 0);
        directory.remove("1", 100);
        directory.replaceRestored(List.of(FIRST), 200, 200);
        directory.remove("1", 300);

        assertThat(ready(301), empty());
    }

    @Test
    void testViewWhenAReplacedIncarnationIsListedAfterTheRestore() {
        ServingEndpoint next =
                new ServingEndpoint("1", Endpoints.SERVICE, FIRST.address(), "a", 64, false, 99);
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.put(next, 100);
        directory.replaceRestored(List.of(FIRST, SECOND), 200, 200);

        assertThat(ready(201), contains(SECOND));
    }

    /** Guards against a service without endpoints while live ones are held back. */
    @Test
    @Tag("known-red")
    void testViewWhenAllEndpointsHadLapsedBeforeTheRestore() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.remove("1", 100);
        directory.remove("2", 100);
        directory.replaceRestored(List.of(FIRST, SECOND), 200, 200);

        assertThat(ready(201), contains(FIRST, SECOND));
    }

    @Test
    @Tag("known-red")
    void testViewWhenTheCopyListsAnEarlierIncarnation() {
        ServingEndpoint live =
                new ServingEndpoint("1", Endpoints.SERVICE, FIRST.address(), "a", 64, false, 99);
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.put(live, 100);
        directory.replaceRestored(List.of(FIRST, SECOND), 200, 200);

        assertThat(ready(201), contains(live, SECOND));
    }

    @Test
    void testViewWhenARemovalIsLongPast() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.remove("1", 100);
        directory.view(600_100);
        directory.replaceRestored(List.of(FIRST, SECOND), 600_200, 600_200);

        assertThat(ready(600_201), contains(FIRST, SECOND));
    }

    @Test
    void testViewWhenARemovedEndpointIsListedAgainInTheSameEra() {
        directory.replace(List.of(FIRST, SECOND), 0);
        directory.remove("1", 100);
        directory.replace(List.of(FIRST, SECOND), 200);

        assertThat(ready(201), contains(FIRST, SECOND));
    }

    private List<ServingEndpoint> ready(long nowMillis) {
        return directory.view(nowMillis).endpointsOf(Endpoints.SERVICE);
    }

    private static EndpointDirectory.Change vanished(ServingEndpoint endpoint) {
        return new EndpointDirectory.Change(endpoint, EndpointDirectory.ChangeKind.VANISHED);
    }

    @Test
    void testViewWhenEndpointJoinsOthers() {
        directory.replace(List.of(FIRST), 0);
        directory.put(SECOND, 10);

        assertThat(directory.view(11).recentlyJoined(), contains(SECOND.incarnation()));
        assertThat(directory.view(10_010).recentlyJoined(), empty());
    }
}
