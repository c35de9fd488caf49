package io.chicorytrestle.bench.history;

/** Shuts one entry instance down as its process does on a signal. */
final class GracefulShutdown {

    /** The time between looks whether the instance is idle, in milliseconds. */
    private static final long IDLE_POLL_MILLIS = 20;

    /** The longest wait for successors in milliseconds. */
    private static final long HANDOVER_TIMEOUT_MILLIS = 5_000;

    /** The longest time from the handover to the end of the process in milliseconds. */
    private static final int MAXIMUM_EXIT_DELAY_MILLIS = 300;

    /** How long the process is down, in milliseconds. */
    private static final long DOWN_MILLIS = 3_000;

    /** The world. */
    private final HistorySimulation simulation;

    /** The instance. */
    private final SimulatedInstance instance;

    /** How long the shutdown may take, in milliseconds. */
    private final long timeoutMillis;

    /** The time to stop waiting at, in milliseconds. */
    private final long deadlineMillis;

    /**
     * Creates a new shutdown.
     *
     * @param world The world.
     * @param node The instance.
     * @param withinMillis How long the shutdown may take, in milliseconds.
     */
    GracefulShutdown(HistorySimulation world, SimulatedInstance node, long withinMillis) {
        this.simulation = world;
        this.instance = node;
        this.timeoutMillis = withinMillis;
        boolean atOnce = world.hasMutation(Mutation.SHUTDOWN_AT_ONCE);
        deadlineMillis = world.scheduler().nowMillis() + (atOnce ? 0 : withinMillis);
    }

    /** Begins the shutdown. */
    void begin() {
        instance.close();
        awaitIdle();
    }

    /** Waits until the instance is idle, then hands its ledger over and ends it. */
    private void awaitIdle() {
        if (instance.isDead()) {
            return;
        }
        if (!instance.isIdle() && simulation.scheduler().nowMillis() < deadlineMillis) {
            simulation.scheduler().scheduleAfter(IDLE_POLL_MILLIS, this::awaitIdle);
            return;
        }
        instance.run(
                () -> {
                    long exitMillis = simulation.random().nextInt(MAXIMUM_EXIT_DELAY_MILLIS);
                    instance.calls()
                            .handOver(simulation.scheduler().nowMillis())
                            .whenComplete(
                                    (done, thrown) ->
                                            simulation.scheduler().scheduleAfter(exitMillis, this::exit));
                    simulation.scheduler().scheduleAfter(HANDOVER_TIMEOUT_MILLIS, this::exit);
                });
    }

    /** Ends the instance. */
    private void exit() {
        if (instance.isDead()) {
            return;
        }
        long cut = simulation.inFlightAt(instance);
        if (cut > 0 && timeoutMillis == HistorySimulation.DRAIN_MILLIS) {
            simulation.recordViolation(
                    Violation.Guarantee.WHOLE_SHUTDOWN, instance.identity().name() + ": " + cut);
        }
        simulation.kill(instance.identity().name(), DOWN_MILLIS);
    }
}
