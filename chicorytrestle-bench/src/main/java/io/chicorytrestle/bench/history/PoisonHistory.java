package io.chicorytrestle.bench.history;

/** Runs a history in which some poison requests crash every engine that runs them. */
public final class PoisonHistory {

    /** The number of harmless requests. */
    private static final int HARMLESS_REQUESTS = 120;

    /** The maximum number of attempts of a caller whose request crashes engines. */
    private static final int POISON_ATTEMPTS = 8;

    /** The span of virtual time in which callers start, in milliseconds. */
    private static final int START_SPAN_MILLIS = 60_000;

    /** The virtual time at which the history ends, in milliseconds. */
    private static final long END_MILLIS = 150_000;

    /** This class holds a static method only. */
    private PoisonHistory() {}

    /**
     * Runs a history. Poison requests start one after another, each in its own interval of the
     * span.
     *
     * @param seed The seed of all random choices.
     * @param poisonCount The number of requests that crash engines, at least one. Their callers
     *     repeat them.
     * @return The endpoints, with the crashes and refusals that they counted.
     */
    public static SimulatedEndpoints run(long seed, int poisonCount) {
        HistorySimulation simulation = HistorySimulation.createStarted(seed);
        for (int index = 0; index < HARMLESS_REQUESTS; index++) {
            Operation harmless =
                    new ChatOperation(
                            simulation, "prompt-" + index, false, ChatOperation.DEFAULT_ATTEMPTS);
            simulation
                    .scheduler()
                    .scheduleAt(simulation.random().nextInt(START_SPAN_MILLIS), harmless::begin);
        }
        int intervalMillis = START_SPAN_MILLIS / poisonCount;
        for (int index = 0; index < poisonCount; index++) {
            Operation poison =
                    new ChatOperation(
                            simulation,
                            SimulatedEndpoints.POISON_PREFIX + index,
                            false,
                            POISON_ATTEMPTS);
            long atMillis =
                    (long) index * intervalMillis + simulation.random().nextInt(intervalMillis / 2);
            simulation.scheduler().scheduleAt(atMillis, poison::begin);
        }
        simulation.scheduler().runUntil(END_MILLIS);
        return simulation.endpoints();
    }
}
