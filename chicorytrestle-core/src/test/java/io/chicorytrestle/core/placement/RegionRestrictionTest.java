package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RegionRestrictionTest {

    private static final Map<String, String> REGIONS = Map.of("a", "north", "b", "south");

    private static final ServingEndpoint NORTH = Endpoints.ready("1", "a");

    private static final ServingEndpoint SOUTH = Endpoints.ready("2", "b");

    private static final ServingEndpoint UNKNOWN = Endpoints.ready("3", "c");

    private static final ServingView VIEW =
            new ServingView(
                    Map.of(Endpoints.SERVICE, List.of(NORTH, SOUTH, UNKNOWN)),
                    List.of(
                            Endpoints.ready("4", "a").asLeaving(),
                            Endpoints.ready("5", "b").asLeaving()),
                    Set.of(),
                    Set.of());

    @Test
    void testRestrictWhenAllRegionsAreAllowed() {
        RegionRestriction all = new RegionRestriction(REGIONS, Set.of(), Set.of());

        assertThat(all.restrict(VIEW, Endpoints.SERVICE), sameInstance(VIEW));
        assertThat(all.excludesAll(VIEW, Endpoints.SERVICE), is(false));
    }

    @Test
    void testRestrictWhenRouteAndWorkspaceStateRegions() {
        RegionRestriction route =
                new RegionRestriction(REGIONS, Set.of("north", "south"), Set.of());
        RegionRestriction both =
                new RegionRestriction(REGIONS, Set.of("north", "south"), Set.of("south", "east"));

        assertThat(endpoints(route), contains(NORTH, SOUTH));
        assertThat(endpoints(both), contains(SOUTH));
        assertThat(
                both.restrict(VIEW, Endpoints.SERVICE).leaving(),
                contains(Endpoints.ready("5", "b").asLeaving()));
    }

    @Test
    void testExcludesAllWhenRegionsOfRouteAndWorkspaceDiffer() {
        RegionRestriction none = new RegionRestriction(REGIONS, Set.of("north"), Set.of("south"));

        assertThat(endpoints(none), is(empty()));
        assertThat(none.excludesAll(VIEW, Endpoints.SERVICE), is(true));
        assertThat(none.excludesAll(VIEW, "other"), is(false));
    }

    private static List<ServingEndpoint> endpoints(RegionRestriction restriction) {
        return restriction.restrict(VIEW, Endpoints.SERVICE).endpointsOf(Endpoints.SERVICE);
    }
}
