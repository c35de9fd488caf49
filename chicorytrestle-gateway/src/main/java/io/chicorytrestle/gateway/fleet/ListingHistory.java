package io.chicorytrestle.gateway.fleet;

/** What was listed before this instance observed the listing. */
@FunctionalInterface
public interface ListingHistory {

    /**
     * Reads what can still be read, and records it in {@link FleetState#versions}.
     *
     * @param timeoutMillis The longest time in milliseconds to wait.
     * @param receiver Called once, after the history was recorded, or if it could not be read in
     *     time.
     */
    void read(long timeoutMillis, Runnable receiver);

    /** Nothing can be read. */
    enum NoOp implements ListingHistory {

        /** The singleton instance. */
        INSTANCE;

        @Override
        public void read(long timeoutMillis, Runnable receiver) {
            receiver.run();
        }
    }
}
