package io.chicorytrestle.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.chicorytrestle.core.fleet.StorePosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EvacuatedZonesTest {

    private static final Evacuations NONE = new Evacuations(new StorePosition(0, 4), Set.of());

    private static final Evacuations ZONE_A = new Evacuations(new StorePosition(0, 7), Set.of("a"));

    private static final ServingEndpoint IN_A = Endpoints.ready("1", "a");

    private static final ServingEndpoint IN_B = Endpoints.ready("2", "b");

    private final EndpointDirectory directory = new EndpointDirectory(1_400);

    @Test
    void testViewWhenZoneIsEvacuated() {
        directory.replace(List.of(IN_A, IN_B), 0);
        directory.accept(NONE, 0);
        directory.accept(ZONE_A, 1);

        ServingView view = directory.view(2);

        assertThat(view.endpointsOf(Endpoints.SERVICE), contains(IN_B));
        assertThat(view.leaving(), contains(IN_A));
        assertThat(view.evacuatedServices(), is(empty()));
        assertThat(directory.view(10_001).leaving(), is(empty()));
    }

    @Test
    void testViewWhenEveryZoneIsEvacuated() {
        directory.replace(List.of(IN_A), 0);
        directory.accept(ZONE_A, 1);

        ServingView view = directory.view(20_000);

        assertThat(view.endpointsOf(Endpoints.SERVICE), is(empty()));
        assertThat(view.evacuatedServices(), contains(Endpoints.SERVICE));
        assertThat(view.hasEndpoints(), is(true));
    }

    @Test
    void testViewWhenEntriesOfAnEvacuatedZoneLapse() {
        directory.replace(List.of(IN_A, IN_B), 0);
        directory.accept(ZONE_A, 1);
        directory.replace(List.of(), 2);

        assertThat(directory.view(3).endpointsOf(Endpoints.SERVICE), contains(IN_B));
    }

    @Test
    void testAcceptWhenSetIsOvertaken() {
        directory.replace(List.of(IN_A, IN_B), 0);
        directory.accept(ZONE_A, 1);

        assertThat(directory.accept(NONE, 2), is(empty()));
        assertThat(directory.evacuations(), equalTo(ZONE_A));
        assertThat(directory.view(3).endpointsOf(Endpoints.SERVICE), contains(IN_B));
    }

    @Test
    void testAfterWhenChangeIsContainedAlready() {
        assertThat(ZONE_A.after("a", false, new StorePosition(0, 7)), equalTo(ZONE_A));
        assertThat(
                ZONE_A.after("a", false, new StorePosition(0, 8)),
                equalTo(new Evacuations(new StorePosition(0, 8), Set.of())));
        assertThat(
                ZONE_A.after("b", true, new StorePosition(0, 9)),
                equalTo(new Evacuations(new StorePosition(0, 9), Set.of("a", "b"))));
    }

    @Test
    void testAfterWhenChangeIsOfAnotherEra() {
        assertThat(ZONE_A.after("b", true, new StorePosition(1, 9)), equalTo(ZONE_A));
    }

    @Test
    void testViewWhenZoneIsTakenBack() {
        List<ServingEndpoint> endpoints = new ArrayList<>(List.of(IN_B));
        for (int index = 0; index < 40; index++) {
            endpoints.add(Endpoints.ready("a" + index, "a"));
        }
        directory.replace(endpoints, 0);
        directory.accept(ZONE_A, 1);
        directory.accept(new Evacuations(new StorePosition(0, 9), Set.of()), 30_000);

        assertThat(directory.view(30_000).endpointsOf(Endpoints.SERVICE), hasSize(lessThan(5)));
        List<ServingEndpoint> half = directory.view(32_000).endpointsOf(Endpoints.SERVICE);
        assertThat(half, hasSize(greaterThan(10)));
        assertThat(half, hasSize(lessThan(32)));
        ServingView all = directory.view(30_000 + EvacuatedZones.RETURN_MILLIS);
        assertThat(all.endpointsOf(Endpoints.SERVICE), hasSize(endpoints.size()));
        assertThat(all.recentlyJoined(), hasSize(40));
    }

    /**
     * Guards against requests to an evacuated zone whose evacuation the copy of the store lacks.
     */
    @Test
    void testViewWhenARestoredStoreLacksAnEvacuation() {
        directory.replace(List.of(IN_A, IN_B), 0);
        directory.accept(new Evacuations(new StorePosition(1, 9), Set.of("a")), 0);
        Evacuations restored = new Evacuations(new StorePosition(2, 4), Set.of());

        assertThat(directory.accept(restored, 100), is(empty()));
        assertThat(directory.evacuations(), equalTo(restored));
        assertThat(directory.evacuationsInForce().zones(), contains("a"));
        assertThat(directory.removeOverdueEvacuations(2_099), is(empty()));
        assertThat(directory.view(2_099).endpointsOf(Endpoints.SERVICE), contains(IN_B));
        assertThat(directory.removeOverdueEvacuations(2_100), contains("a"));
        assertThat(directory.evacuationsInForce(), equalTo(restored));
    }

    @Test
    void testViewWhenAMissingEvacuationIsWrittenAgainAndTakenBack() {
        directory.replace(List.of(IN_A, IN_B), 0);
        directory.accept(new Evacuations(new StorePosition(1, 9), Set.of("a")), 0);
        directory.accept(new Evacuations(new StorePosition(2, 4), Set.of()), 100);

        assertThat(
                directory.accept(new Evacuations(new StorePosition(2, 5), Set.of("a")), 200),
                is(empty()));
        assertThat(directory.removeOverdueEvacuations(2_100), is(empty()));
        assertThat(
                directory.accept(new Evacuations(new StorePosition(2, 6), Set.of()), 2_200),
                contains("a"));
    }

    @Test
    void testAcceptWhenTheFirstEraWasZero() {
        directory.accept(ZONE_A, 0);

        assertThat(
                directory.accept(new Evacuations(new StorePosition(1, 4), Set.of()), 100),
                is(empty()));
        assertThat(directory.removeOverdueEvacuations(2_100), contains("a"));
    }

    @Test
    void testViewWhenTheOnlyZoneIsTakenBack() {
        directory.replace(List.of(IN_A), 0);
        directory.accept(ZONE_A, 1);
        directory.accept(new Evacuations(new StorePosition(0, 9), Set.of()), 2);

        assertThat(directory.view(2).endpointsOf(Endpoints.SERVICE), contains(IN_A));
    }

    @Test
    void testViewWhenZoneIsEvacuatedAgainWhileItsEndpointsReturn() {
        directory.replace(List.of(IN_A, IN_B), 0);
        directory.accept(ZONE_A, 1);
        directory.accept(new Evacuations(new StorePosition(0, 9), Set.of()), 2);
        directory.accept(new Evacuations(new StorePosition(0, 11), Set.of("a")), 3);

        assertThat(directory.view(9_000).endpointsOf(Endpoints.SERVICE), is(not(empty())));
        assertThat(directory.view(9_000).endpointsOf(Endpoints.SERVICE), contains(IN_B));
    }
}
