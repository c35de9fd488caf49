package io.chicorytrestle.bench.history;

import java.util.List;

/** Begins the callers of a history. */
final class CallerWorkload {

    /** The calls of plain services of one history. */
    private static final int CALL_COUNT = 24;

    /** The chat turns of one history. */
    private static final int CHAT_COUNT = 16;

    /** One in so many chat turns has a key. */
    private static final int KEY_ONE_IN = 3;

    /** The span in which callers begin, in milliseconds. */
    private static final int START_SPAN_MILLIS = 22_000;

    /** How long before a fault a caller begins at most, in milliseconds. */
    private static final int MAXIMUM_LEAD_MILLIS = 600;

    /** Prevents instances. */
    private CallerWorkload() {}

    /**
     * Begins the callers of a history.
     *
     * @param world The world.
     * @param faults The faults.
     */
    static void schedule(HistorySimulation world, List<Fault> faults) {
        for (int index = 0; index < CALL_COUNT; index++) {
            world.addOperation(new CallOperation(world, index), randomStartMillis(world, faults));
        }
        for (int index = 0; index < CHAT_COUNT; index++) {
            world.addOperation(
                    new ChatOperation(
                            world,
                            "prompt-" + index,
                            index % KEY_ONE_IN == 0,
                            ChatOperation.DEFAULT_ATTEMPTS),
                    randomStartMillis(world, faults));
        }
    }

    /**
     * Returns when a caller begins: shortly before a fault, or at any time.
     *
     * @param world The world.
     * @param faults The faults.
     * @return The time in milliseconds.
     */
    private static long randomStartMillis(HistorySimulation world, List<Fault> faults) {
        if (faults.isEmpty() || world.random().nextBoolean()) {
            return world.random().nextInt(START_SPAN_MILLIS);
        }
        Fault fault = faults.get(world.random().nextInt(faults.size()));
        return fault.atMillis() - world.random().nextInt(MAXIMUM_LEAD_MILLIS);
    }
}
