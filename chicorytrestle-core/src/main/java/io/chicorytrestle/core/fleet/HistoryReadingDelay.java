package io.chicorytrestle.core.fleet;

/**
 * Spreads the readings of the store's history over time where many instances start together, since
 * all share one bound on calls to the store.
 */
public final class HistoryReadingDelay {

    /** The time in milliseconds that each instance adds: its calls, at 1,000 a second in all. */
    private static final long MILLIS_PER_INSTANCE = OldestRevisionSearch.MAXIMUM_CALLS;

    /** The time in milliseconds over which readings need no spreading. */
    private static final long UNSPREAD_MILLIS = 500;

    /** Prevents instantiation. */
    private HistoryReadingDelay() {}

    /**
     * Returns how long to wait before a reading.
     *
     * @param instanceCount The number of instances, this one included.
     * @param random A random number between zero, inclusive, and one.
     * @return The time in milliseconds, zero in a small fleet.
     */
    public static long millis(int instanceCount, double random) {
        long allMillis = instanceCount * MILLIS_PER_INSTANCE;
        return allMillis <= UNSPREAD_MILLIS ? 0 : (long) (allMillis * random);
    }
}
