package io.chicorytrestle.bench.history;

/**
 * Simulates the graceful shutdown of one entry instance, as its process performs it on a signal: it
 * drains, hands its ledger over, exits and later restarts.
 */
final class GracefulShutdown {

    /** The interval at which the shutdown checks whether the instance is idle, in milliseconds. */
    private static final long IDLE_POLL_MILLIS = 20;

    /**
     * The time after which the process exits even if the handover has not completed, in
     * milliseconds.
     */
    private static final long HANDOVER_TIMEOUT_MILLIS = 5_000;

    /**
     * The exclusive upper bound of the time from the handover to the exit of the process, in
     * milliseconds.
     */
    private static final int MAXIMUM_EXIT_DELAY_MILLIS = 300;

    /** The time from the exit of the process to its restart, in milliseconds. */
    private static final long DOWN_MILLIS = 3_000;

    /** The simulation that the instance belongs to. */
    private final HistorySimulation simulation;

    /** The instance to shut down. */
    private final SimulatedInstance instance;

    /** How long the instance may wait for its requests, in milliseconds. */
    private final long timeoutMillis;

    /** The virtual time at which the wait for requests ends, in milliseconds. */
    private final long deadlineMillis;

    /**
     * Creates a shutdown whose deadline starts now.
     *
     * @param simulation The simulation that the instance belongs to.
     * @param instance The instance to shut down.
     * @param timeoutMillis How long the instance may wait for its requests, in milliseconds.
     */
    GracefulShutdown(HistorySimulation simulation, SimulatedInstance instance, long timeoutMillis) {
        this.simulation = simulation;
        this.instance = instance;
        this.timeoutMillis = timeoutMillis;
        boolean immediate = simulation.hasMutation(Mutation.SHUTDOWN_AT_ONCE);
        deadlineMillis = simulation.scheduler().nowMillis() + (immediate ? 0 : timeoutMillis);
    }

    /** Starts the shutdown: the instance accepts no new requests. */
    void begin() {
        instance.close();
        awaitIdle();
    }

    /**
     * Waits until the instance is idle or the deadline passes, then hands its ledger over and
     * schedules the exit.
     */
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
                                            simulation
                                                    .scheduler()
                                                    .scheduleAfter(exitMillis, this::exit));
                    simulation.scheduler().scheduleAfter(HANDOVER_TIMEOUT_MILLIS, this::exit);
                });
    }

    /** Ends the process. With the full deadline, a request still in flight is a violation. */
    private void exit() {
        if (instance.isDead()) {
            return;
        }
        long interrupted = simulation.inFlightAt(instance);
        if (interrupted > 0 && timeoutMillis == HistorySimulation.DRAIN_MILLIS) {
            simulation.recordViolation(
                    Violation.Guarantee.WHOLE_SHUTDOWN,
                    instance.identity().name() + ": " + interrupted);
        }
        simulation.kill(instance.identity().name(), DOWN_MILLIS);
    }
}
