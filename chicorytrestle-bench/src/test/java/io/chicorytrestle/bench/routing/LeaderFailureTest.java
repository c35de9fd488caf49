package io.chicorytrestle.bench.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.Range;
import io.chicorytrestle.core.identity.EndpointKind;
import io.chicorytrestle.core.routing.RendezvousOrder;
import io.chicorytrestle.core.table.PoolRow;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.WorkspaceRow;
import io.chicorytrestle.standin.model.EngineProfile;
import io.chicorytrestle.standin.virtual.VirtualNetwork;
import io.chicorytrestle.standin.virtual.VirtualScheduler;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LeaderFailureTest {

    private static final long FAILURE_MILLIS = 20_000;
    private static final long END_MILLIS = 60_000;
    private static final PoolRow ROW =
            new PoolRow(
                    SimulatedEngine.POOL,
                    EndpointKind.ENGINE,
                    1,
                    1.25,
                    10_000,
                    "model",
                    "1",
                    "",
                    "");

    private final VirtualScheduler scheduler = new VirtualScheduler(1);
    private final VirtualNetwork network = new VirtualNetwork(scheduler, 1, message -> 1);
    private final SimulatedEngineFleet fleet =
            new SimulatedEngineFleet(
                    scheduler,
                    SimulatedEngineFleet.engines(
                            scheduler,
                            Collections.nCopies(6, new EngineProfile(16, 8_000, 100, 300_000, 64)),
                            3),
                    2_000,
                    1);
    private final RouterFleet routers = new RouterFleet(scheduler, network, fleet, table(), 9, 3);
    private final RunMetrics figures = new RunMetrics(Set.of(), Range.closed(0L, END_MILLIS));
    private final int leader =
            routers.routerNames()
                    .indexOf(
                            RendezvousOrder.order(SimulatedEngine.POOL, routers.routerNames())
                                    .get(0));

    @Test
    void testBoundWhenNothingFails() {
        runSimulation();
        assertThat(figures.admissionsOverBound(), is(0L));
        assertThat(figures.refused(), is(0L));
    }

    @Test
    void testBoundWhenLeaderKilled() {
        scheduler.scheduleAt(FAILURE_MILLIS, () -> routers.restart(leader, 30_000));
        runSimulation();
        assertThat(figures.admissionsOverBound(), is(0L));
        assertThat(figures.refused(), is(0L));
    }

    @Test
    void testBoundWhenLeaderRestartsAtOnceUnderItsName() {
        scheduler.scheduleAt(FAILURE_MILLIS, () -> routers.restart(leader, 100));
        runSimulation();
        assertThat(figures.admissionsOverBound(), is(0L));
        assertThat(figures.refused(), is(0L));
    }

    @Test
    void testBoundWhenLeaderPausesForLessThanItsLease() {
        scheduler.scheduleAt(FAILURE_MILLIS, () -> routers.pause(leader, 1_200));
        runSimulation();
        assertThat(figures.admissionsOverBound(), is(0L));
    }

    @Test
    void testBoundWhenLeaderPausesForLongerThanItsLease() {
        scheduler.scheduleAt(FAILURE_MILLIS, () -> routers.pause(leader, 9_000));
        runSimulation();
        assertThat(figures.admissionsOverBound(), is(0L));
        assertThat(figures.completed(), is(greaterThan(0L)));
    }

    @Test
    void testBoundWhenEveryRouterRestartsInTurn() {
        for (int number = 0; number < 9; number++) {
            int restarted = number;
            scheduler.scheduleAt(FAILURE_MILLIS + number * 2_000L, () -> routers.restart(restarted, 500));
        }
        runSimulation();
        assertThat(figures.admissionsOverBound(), is(0L));
    }

    private void runSimulation() {
        TraceSettings settings = new TraceSettings(END_MILLIS, 4, 6, 10_000, 9, 10, 0.9);
        TurnDriver driver = new TurnDriver(scheduler, fleet, routers, ROW, figures);
        driver.schedule(TraceGenerator.generate(settings, 7));
        scheduler.runUntil(END_MILLIS + 30_000);
    }

    private static Table table() {
        Map<String, WorkspaceRow> rows = new java.util.HashMap<>();
        for (String name : List.of("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9")) {
            rows.put(name, new WorkspaceRow(name, 1, 1_000, 0, 256));
        }
        return new Table(1, rows, Map.of(SimulatedEngine.POOL, ROW));
    }
}
