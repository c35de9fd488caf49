package io.chicorytrestle.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards streams of which only the route tells the service that began them. */
class RouteHistoryTest {

    private static final Route GENERAL = route("/a/", "s");

    private final RouteHistory history = new RouteHistory(30_000);

    @Test
    void testSoleServiceWhenTheFirstTableIsRecorded() {
        history.record(table(1, GENERAL), 0);

        assertThat(history.soleService(GENERAL, 1), equalTo(Optional.of("s")));
    }

    @Test
    void testSoleServiceWhenARouteWasMoved() {
        Route moved = route("/a/", "t");
        history.record(table(1, GENERAL, route("/b/", "s")), 0);
        history.record(table(2, moved, route("/b/", "s")), 1_000);
        history.record(table(3, moved, route("/b/", "s")), 2_000);

        assertThat(history.soleService(moved, 31_000), equalTo(Optional.empty()));
        assertThat(history.soleService(route("/b/", "s"), 31_000), equalTo(Optional.of("s")));
        assertThat(history.soleService(moved, 31_001), equalTo(Optional.of("t")));
    }

    @Test
    void testSoleServiceWhenARouteIsOrWasSplit() {
        history.record(table(1, route("/a/", "s", "t")), 0);
        assertThat(history.soleService(route("/a/", "s", "t"), 1), equalTo(Optional.empty()));

        history.record(table(2, GENERAL), 2);
        assertThat(history.soleService(GENERAL, 3), equalTo(Optional.empty()));
    }

    @Test
    void testSoleServiceWhenARouteWithALongerPrefixIsAddedOrRemoved() {
        Route special = route("/a/b/", "t");
        history.record(table(1, GENERAL), 0);
        history.record(table(2, GENERAL, special), 1);
        assertThat(history.soleService(special, 2), equalTo(Optional.empty()));
        assertThat(history.soleService(GENERAL, 2), equalTo(Optional.of("s")));

        history.record(table(3, GENERAL), 40_000);
        assertThat(history.soleService(GENERAL, 40_001), equalTo(Optional.empty()));
    }

    @Test
    void testSoleServiceWhenARouteIsNew() {
        history.record(table(1, GENERAL), 0);
        history.record(table(2, GENERAL, route("/c/", "t")), 1);

        assertThat(history.soleService(route("/c/", "t"), 2), equalTo(Optional.of("t")));
    }

    private static RoutingTable table(long version, Route... routes) {
        return RoutingTable.of(
                version, List.of(routes), List.of(), List.of(), RequestLimits.DEFAULT);
    }

    private static Route route(String prefix, String... services) {
        return new Route(
                prefix,
                "host",
                prefix,
                Repeatability.RESUMABLE_STREAM,
                100,
                50,
                0,
                2,
                0,
                false,
                false,
                Arrays.stream(services).map(service -> new ServiceShare(service, 1)).toList(),
                Set.of());
    }
}
