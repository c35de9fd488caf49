package io.chicorytrestle.bench.history;

/** What one caller wants, with all its tries. */
interface Operation {

    /** Begins the operation. */
    void begin();

    /**
     * Returns {@code true} if the caller tries no more.
     *
     * @return {@code true} if the caller tries no more.
     */
    boolean isDone();

    /** Compares what the caller believes with what the endpoints did. */
    void check();

    /**
     * Returns {@code true} if the operation must not be executed twice.
     *
     * @return {@code true} if the operation must not be executed twice.
     */
    boolean isNonIdempotent();

    /**
     * Returns {@code true} if the caller never learned whether the operation ran.
     *
     * @return {@code true} if the caller never learned whether the operation ran.
     */
    boolean isInDoubt();
}
