package io.chicorytrestle.core.peer;

/**
 * Holds how many bytes may be sent now. It fills at a steady rate up to what one second allows.
 *
 * @param bytesPerSecond The rate at which it fills.
 * @param availableBytes The bytes that may be sent; negative after messages that were not delayed.
 * @param asOfMillis The time of the balance in milliseconds.
 */
public record ByteBudget(long bytesPerSecond, double availableBytes, long asOfMillis) {

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Creates a new budget.
     *
     * @throws IllegalArgumentException If the rate is below one.
     */
    public ByteBudget {
        if (bytesPerSecond < 1) {
            throw new IllegalArgumentException("Cannot send at rate: " + bytesPerSecond);
        }
    }

    /**
     * Creates a full budget.
     *
     * @param bytesPerSecond The rate at which it fills.
     * @param nowMillis The present time in milliseconds.
     * @return A full budget.
     */
    public static ByteBudget full(long bytesPerSecond, long nowMillis) {
        return new ByteBudget(bytesPerSecond, (double) bytesPerSecond, nowMillis);
    }

    /**
     * Returns this budget at a time.
     *
     * @param nowMillis The time in milliseconds.
     * @return The budget with what was added since.
     */
    public ByteBudget refilledAt(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - asOfMillis);
        double added = bytesPerSecond * elapsedMillis / MILLIS_PER_SECOND;
        return new ByteBudget(
                bytesPerSecond,
                Math.min((double) bytesPerSecond, availableBytes + added),
                Math.max(asOfMillis, nowMillis));
    }

    /**
     * Returns this budget after sending. The balance falls to minus one second's bytes at most.
     *
     * @param bytes The bytes that are sent.
     * @return The budget with what is left.
     */
    public ByteBudget afterSending(long bytes) {
        return new ByteBudget(
                bytesPerSecond,
                Math.max(-(double) bytesPerSecond, availableBytes - bytes),
                asOfMillis);
    }

    /**
     * Returns {@code true} if a message may be sent now.
     *
     * @return {@code true} if anything is left.
     */
    public boolean canSend() {
        return availableBytes > 0;
    }

    /**
     * Returns how long it takes until a message may be sent.
     *
     * @return The time in milliseconds, zero if one may be sent now.
     */
    public long waitMillis() {
        return canSend()
                ? 0
                : 1 + (long) Math.ceil(-availableBytes * MILLIS_PER_SECOND / bytesPerSecond);
    }
}
