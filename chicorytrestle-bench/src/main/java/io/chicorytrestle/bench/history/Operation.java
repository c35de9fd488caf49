package io.chicorytrestle.bench.history;

/** Represents what one caller wants to have done, over all of its attempts. */
interface Operation {

    /** Starts the operation with its first attempt. */
    void begin();

    /**
     * Returns whether the caller has finished.
     *
     * @return {@code true} if no attempt is pending and none will follow.
     */
    boolean isDone();

    /**
     * Compares the verdict that the caller ended with to the executions of the endpoints, and
     * records violations. Called once at the end of the history.
     */
    void check();

    /**
     * Returns whether the operation is not idempotent.
     *
     * @return {@code true} if the operation must not be executed twice.
     */
    boolean isNonIdempotent();

    /**
     * Returns whether the caller ended without knowing the outcome.
     *
     * @return {@code true} if the final verdict is that the operation may have run.
     */
    boolean isInDoubt();
}
