package io.chicorytrestle.bench.history;

import java.util.List;

/** Schedules the callers of a history. */
final class CallerWorkload {

    /** The number of service calls in one history. */
    private static final int CALL_COUNT = 24;

    /** The number of chat turns in one history. */
    private static final int CHAT_COUNT = 16;

    /** One in this many chat turns carries an idempotency key. */
    private static final int KEY_ONE_IN = 3;

    /** The span of virtual time in which callers start, in milliseconds. */
    private static final int START_SPAN_MILLIS = 22_000;

    /**
     * The exclusive upper bound of the time by which a caller starts before a fault, in
     * milliseconds.
     */
    private static final int MAXIMUM_LEAD_MILLIS = 600;

    /** This class holds static methods only. */
    private CallerWorkload() {}

    /**
     * Adds all callers of a history to the simulation.
     *
     * @param simulation The simulation that runs the callers.
     * @param faults The faults that the history injects, which some callers are timed to precede;
     *     may be empty.
     */
    static void schedule(HistorySimulation simulation, List<Fault> faults) {
        for (int index = 0; index < CALL_COUNT; index++) {
            simulation.addOperation(
                    new CallOperation(simulation, index), randomStartMillis(simulation, faults));
        }
        for (int index = 0; index < CHAT_COUNT; index++) {
            simulation.addOperation(
                    new ChatOperation(
                            simulation,
                            "prompt-" + index,
                            index % KEY_ONE_IN == 0,
                            ChatOperation.DEFAULT_ATTEMPTS),
                    randomStartMillis(simulation, faults));
        }
    }

    /**
     * Samples the start time of a caller. Half of the callers start shortly before a fault, so that
     * their requests are in flight when it strikes.
     *
     * @param simulation The simulation that runs the callers.
     * @param faults The faults that the history injects, which some callers are timed to precede;
     *     may be empty.
     * @return The virtual time in milliseconds.
     */
    private static long randomStartMillis(HistorySimulation simulation, List<Fault> faults) {
        if (faults.isEmpty() || simulation.random().nextBoolean()) {
            return simulation.random().nextInt(START_SPAN_MILLIS);
        }
        Fault fault = faults.get(simulation.random().nextInt(faults.size()));
        return fault.atMillis() - simulation.random().nextInt(MAXIMUM_LEAD_MILLIS);
    }
}
