package io.chicorytrestle.core.peer;

/**
 * Limits the rate of sending as a token bucket, which is refilled at a constant rate up to the
 * bytes of one second.
 *
 * @param bytesPerSecond The rate at which the budget is refilled, at least one.
 * @param availableBytes The bytes that may be sent; negative after messages that were sent beyond
 *     the budget.
 * @param asOfMillis The time of the last refill in milliseconds.
 */
public record ByteBudget(long bytesPerSecond, double availableBytes, long asOfMillis) {

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Creates a new budget.
     *
     * @throws IllegalArgumentException If the rate is below one.
     */
    public ByteBudget {
        if (bytesPerSecond < 1) {
            throw new IllegalArgumentException(
                    "Cannot send at rate below one byte per second: " + bytesPerSecond);
        }
    }

    /**
     * Creates a full budget.
     *
     * @param bytesPerSecond The rate at which the budget is refilled, at least one.
     * @param nowMillis The present time in milliseconds.
     * @return A full budget.
     */
    public static ByteBudget full(long bytesPerSecond, long nowMillis) {
        return new ByteBudget(bytesPerSecond, (double) bytesPerSecond, nowMillis);
    }

    /**
     * Returns this budget refilled up to a time.
     *
     * @param nowMillis The time in milliseconds.
     * @return The refilled budget; the same balance if the time lies before the last refill.
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
     * Returns this budget after sending. The balance never falls below minus the bytes of one
     * second.
     *
     * @param bytes The number of bytes sent.
     * @return The reduced budget.
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
     * @return {@code true} if the balance is positive.
     */
    public boolean canSend() {
        return availableBytes > 0;
    }

    /**
     * Returns the time until a message may be sent.
     *
     * @return The time in milliseconds, zero if one may be sent now.
     */
    public long waitMillis() {
        return canSend()
                ? 0
                : 1 + (long) Math.ceil(-availableBytes * MILLIS_PER_SECOND / bytesPerSecond);
    }
}
