package io.chicorytrestle.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RoutingTableTest {

    private static final ServiceShare SHARE = new ServiceShare("pool", 1);

    @Test
    void testRouteWhenSeveralPrefixesBeginThePath() {
        RoutingTable table = table(route("short", "/a/", false), route("long", "/a/b/", false));

        assertThat(table.route("host", "/a/b/c").map(Route::name), equalTo(Optional.of("long")));
    }

    @Test
    void testRouteWhenHostIsUnknown() {
        RoutingTable table = table(route("short", "/a/", false));

        assertThat(table.route("other", "/a/b"), equalTo(Optional.empty()));
    }

    @Test
    void testRequiresKeyWhenRouteIsPublic() {
        Route route = route("open", "/a/", true);

        assertThat(table(route).requiresKey(route), is(false));
    }

    @Test
    void testWorkspaceWhenKeyWasDropped() {
        RoutingTable table = table(route("short", "/a/", false));

        assertThat(table.workspace("dropped"), equalTo(Optional.empty()));
        assertThat(table.workspace("key").map(Workspace::name), equalTo(Optional.of("space")));
    }

    @Test
    void testOfWhenVersionIsZero() {
        assertThrows(
                IllegalArgumentException.class,
                () -> RoutingTable.of(0, List.of(), List.of(), List.of(), RequestLimits.DEFAULT));
    }

    @Test
    void testServiceWhenSharesDiffer() {
        Route route =
                new Route(
                        "split",
                        "host",
                        "/",
                        Repeatability.IDEMPOTENT,
                        100,
                        50,
                        0,
                        2,
                        0,
                        false,
                        false,
                        List.of(new ServiceShare("a", 90), new ServiceShare("b", 10)),
                        Set.of());

        assertThat(route.selectService(0.89), equalTo("a"));
        assertThat(route.selectService(0.91), equalTo("b"));
    }

    private static RoutingTable table(Route... routes) {
        return RoutingTable.of(
                1,
                List.of(routes),
                List.of(),
                List.of(new Workspace("space", List.of("key"), OptionalInt.empty(), Set.of())),
                RequestLimits.DEFAULT);
    }

    private static Route route(String name, String prefix, boolean isPublic) {
        return new Route(
                name,
                "host",
                prefix,
                Repeatability.IDEMPOTENT,
                100,
                50,
                0,
                2,
                0,
                isPublic,
                false,
                List.of(SHARE),
                Set.of());
    }
}
