package io.chicorytrestle.bench.history;

/** Runs a history in which some requests crash each engine that runs them. */
public final class PoisonHistory {

    /** The requests beside poison that are harmless. */
    private static final int HARMLESS_REQUESTS = 120;

    /** The tries of a caller whose request crashes engines. */
    private static final int POISON_ATTEMPTS = 8;

    /** The span in which callers begin, in milliseconds. */
    private static final int START_SPAN_MILLIS = 60_000;

    /** The end of the history in milliseconds. */
    private static final long END_MILLIS = 150_000;

    /** Prevents instances. */
    private PoisonHistory() {}

    /**
     * Runs a history.
     *
     * @param seed The seed of all random choices.
     * @param poisons The requests that crash engines; their callers send them again and again.
     * @return The endpoints with what they counted.
     */
    public static SimulatedEndpoints run(long seed, int poisons) {
        HistorySimulation world = HistorySimulation.createStarted(seed);
        for (int index = 0; index < HARMLESS_REQUESTS; index++) {
            Operation innocent =
                    new ChatOperation(
                            world, "prompt-" + index, false, ChatOperation.DEFAULT_ATTEMPTS);
            world.scheduler().scheduleAt(world.random().nextInt(START_SPAN_MILLIS), innocent::begin);
        }
        int spanMillis = START_SPAN_MILLIS / poisons;
        for (int index = 0; index < poisons; index++) {
            Operation poison =
                    new ChatOperation(
                            world,
                            SimulatedEndpoints.POISON_PREFIX + index,
                            false,
                            POISON_ATTEMPTS);
            long atMillis = (long) index * spanMillis + world.random().nextInt(spanMillis / 2);
            world.scheduler().scheduleAt(atMillis, poison::begin);
        }
        world.scheduler().runUntil(END_MILLIS);
        return world.endpoints();
    }
}
